package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// newKeyCommand returns the command key, whose subcommands create, grant, rotate
// and withdraw keys.
func newKeyCommand(env *environment) *parentCommand {
	return &parentCommand{
		env:         env,
		name:        "key",
		synopsis:    "create, grant, rotate and withdraw keys",
		subcommands: []*command{newKeyNew(env), newKeyGrant(env), newKeyRotate(env), newKeyWithdraw(env)},
	}
}

// keyOutput is the JSON output of a command that creates a key.
type keyOutput struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	SHA256   string `json:"sha256"`
	Operator bool   `json:"operator,omitempty"`
	// Secret is printed once and stored nowhere. It is empty if the operator
	// gave only its hash.
	Secret string `json:"secret,omitempty"`
}

// keyOptions are the flags that describe a key.
type keyOptions struct {
	id       string
	team     string
	hash     string
	operator bool
}

func (o *keyOptions) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.id, "id", "", "id of the key, which logs show (required)")
	f.StringVar(&o.team, "team", "", "team whose work the key authorizes (required unless -operator)")
	f.BoolVar(&o.operator, "operator", false, "authorize the key for administration")
}

// make returns the key that the flags describe and its secret, which is empty
// if only its hash was given.
func (o *keyOptions) make() (operator.Key, string, error) {
	if o.id == "" || (o.team == "" && !o.operator) {
		return operator.Key{}, "", usageError("-id and -team are required, or -id and -operator")
	}
	key, secret, err := operator.NewKey(o.id, o.team)
	if err != nil {
		return operator.Key{}, "", err
	}
	key.Operator = o.operator
	if o.hash != "" {
		key.SHA256, secret = o.hash, ""
	}
	return key, secret, nil
}

func newKeyNew(env *environment) *command {
	o := &keyOptions{}
	c := &command{
		env:      env,
		path:     "key new",
		synopsis: "create a key and its secret without publishing anything",
		details:  "The secret is printed only once; give it to the team. Add the printed section to the configuration.",
		examples: []string{"bluebellstile key new -id press-2 -team press"},
	}
	c.flags = func(f *flag.FlagSet) {
		o.addFlags(f)
		c.addJSONFlag(f)
	}
	c.run = func(_ context.Context, args []string) error {
		if err := requireNoArguments(args); err != nil {
			return err
		}
		key, secret, err := o.make()
		if err != nil {
			return err
		}
		return c.printKey(key, secret)
	}
	return c
}

// printKey prints the secret of a key, if there is one, and its section of the
// configuration.
func (c *command) printKey(key operator.Key, secret string) error {
	if c.json {
		return c.env.printJSON(keyOutput{ID: key.ID, Team: key.Team, SHA256: key.SHA256, Operator: key.Operator, Secret: secret})
	}
	if secret != "" {
		c.env.messagef("the secret, which is printed only once:")
		if err := c.env.print(secret + "\n\n"); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("[key %q]\n", key.ID)
	if key.Team != "" {
		text += "team      = " + key.Team + "\n"
	}
	text += fmt.Sprintf("sha256    = %s\noperator  = %v\nwithdrawn = %v\n", key.SHA256, key.Operator, key.Withdrawn)
	return c.env.print(text)
}

// maxEditAttempts bounds the attempts of editConfig, which starts over when
// another operator's change was published first.
const maxEditAttempts = 5

// editConfig applies a change to the configuration in force and publishes the
// result. If another change was published in between, it starts over from that
// version, at most maxEditAttempts times in all.
func editConfig(ctx context.Context, apiClient *client.Client, change func(*operator.Config) error) (*client.PublishResult, error) {
	for attempt := 1; ; attempt++ {
		published, err := tryEditConfig(ctx, apiClient, change)
		e := client.AsError(err)
		conflict := e != nil && e.Kind == client.KindConflict && e.Verdict == client.VerdictNotRun
		if !conflict || attempt == maxEditAttempts {
			return published, err
		}
	}
}

// tryEditConfig makes one attempt of editConfig.
func tryEditConfig(ctx context.Context, apiClient *client.Client, change func(*operator.Config) error) (*client.PublishResult, error) {
	config, version, err := currentConfig(ctx, apiClient)
	if err != nil {
		return nil, err
	}
	if len(config.Zones) == 0 {
		return nil, errors.New("no configuration is in force yet; publish one with 'bluebellstile config publish'")
	}
	if err := change(config); err != nil {
		return nil, err
	}
	text, err := operator.Print(config)
	if err != nil {
		return nil, err
	}
	return apiClient.Publish(ctx, client.PublishRequest{Text: text, Expected: version})
}

func newKeyGrant(env *environment) *command {
	o, publishOpts := &keyOptions{}, &publishOptions{conn: clientFlags{env: env}}
	c := &command{
		env:      env,
		path:     "key grant",
		synopsis: "create a key and publish it",
		details:  "Add the printed section to the program that prints your configuration, or its next publication drops the key.",
		examples: []string{
			"bluebellstile key grant -id press-2 -team press",
			"bluebellstile key grant -id press-2 -team press -sha256 HASH",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.addFlags(f)
		publishOpts.addFlags(f)
		c.addJSONFlag(f)
		f.StringVar(&o.hash, "sha256", "", "hash of a secret that the team has created itself")
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := requireNoArguments(args); err != nil {
			return err
		}
		key, secret, err := o.make()
		if err != nil {
			return err
		}
		return c.publishKey(ctx, publishOpts, func(config *operator.Config) (operator.Key, string, error) {
			return key, secret, config.GrantKey(key)
		})
	}
	return c
}

// publishKey publishes a change that adds a key, and prints the key. The key is
// also printed if the outcome is unknown, since it may be in force then and its
// secret can't be printed later.
func (c *command) publishKey(ctx context.Context, publishOpts *publishOptions, change func(*operator.Config) (operator.Key, string, error)) error {
	apiClient, err := publishOpts.conn.newClient()
	if err != nil {
		return err
	}
	var key operator.Key
	var secret string
	published, err := editConfig(ctx, apiClient, func(config *operator.Config) (changeErr error) {
		key, secret, changeErr = change(config)
		return changeErr
	})
	if e := client.AsError(err); err != nil && (e == nil || e.Verdict != client.VerdictUnknown) {
		return err
	}
	if printErr := c.printKey(key, secret); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	for _, z := range published.Zones {
		c.env.messagef("version %d, zone %s: %s", published.Version, z.Zone, z.State)
	}
	return rolloutError(published, publishOpts.everywhere)
}
