package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/operator"
)

// newKeyFamily returns the commands on keys.
func newKeyFamily(env *environment) *family {
	return &family{
		env:      env,
		name:     "key",
		synopsis: "make, grant, rotate and withdraw keys",
		members:  []*command{newKeyNew(env), newKeyGrant(env), newKeyRotate(env), newKeyWithdraw(env)},
	}
}

// madeKey is a new key for scripts.
type madeKey struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	SHA256   string `json:"sha256"`
	Operator bool   `json:"operator,omitempty"`
	// Secret is shown once and kept nowhere; it is empty if the operator
	// brought only its hash.
	Secret string `json:"secret,omitempty"`
}

// keyOptions are the flags that describe a key.
type keyOptions struct {
	id       string
	team     string
	hash     string
	operator bool
}

func (o *keyOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.id, "id", "", "id of the key, which logs show (needed)")
	f.StringVar(&o.team, "team", "", "team whose work the key admits (needed unless -operator)")
	f.BoolVar(&o.operator, "operator", false, "the key admits to administration")
}

// make returns the key that the flags describe.
func (o *keyOptions) make() (operator.Key, string, error) {
	if o.id == "" || (o.team == "" && !o.operator) {
		return operator.Key{}, "", usageError("-id and -team are needed, or -id and -operator")
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
		synopsis: "make a key and its secret without publishing anything",
		details:  "The secret is shown once and goes to the team; the section goes into the configuration.",
		examples: []string{"bluebellstile key new -id press-2 -team press"},
	}
	c.flags = func(f *flag.FlagSet) {
		o.flags(f)
		c.jsonFlag(f)
	}
	c.run = func(_ context.Context, args []string) error {
		if err := noArguments(args); err != nil {
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

func (c *command) printKey(key operator.Key, secret string) error {
	if c.json {
		return c.env.printJSON(madeKey{ID: key.ID, Team: key.Team, SHA256: key.SHA256, Operator: key.Operator, Secret: secret})
	}
	if secret != "" {
		c.env.note("the secret is shown only this once:")
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

// editAttempts bounds how often an edit is made anew after another operator's
// change came first.
const editAttempts = 5

// editConfig applies a change to the configuration in force and publishes the
// result. When another change comes first it is applied anew on top of that.
func editConfig(ctx context.Context, opened *client.Client, change func(*operator.Config) error) (*client.Published, error) {
	for attempt := 1; ; attempt++ {
		published, err := editOnce(ctx, opened, change)
		e := client.AsError(err)
		beaten := e != nil && e.Kind == client.KindConflict && e.Verdict == client.VerdictNotRun
		if !beaten || attempt == editAttempts {
			return published, err
		}
	}
}

func editOnce(ctx context.Context, opened *client.Client, change func(*operator.Config) error) (*client.Published, error) {
	config, version, err := inForce(ctx, opened)
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
	return opened.Publish(ctx, client.PublishRequest{Text: text, Expected: version})
}

func newKeyGrant(env *environment) *command {
	o, edit := &keyOptions{}, &publishOptions{conn: connection{env: env}}
	c := &command{
		env:      env,
		path:     "key grant",
		synopsis: "make a key and put it in force at once",
		details:  "Add the section that is printed to the program that prints your configuration, or its next publication drops the key.",
		examples: []string{
			"bluebellstile key grant -id press-2 -team press",
			"bluebellstile key grant -id press-2 -team press -sha256 HASH",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		o.flags(f)
		edit.flags(f)
		c.jsonFlag(f)
		f.StringVar(&o.hash, "sha256", "", "hash of a secret that the team has made itself")
	}
	c.run = func(ctx context.Context, args []string) error {
		if err := noArguments(args); err != nil {
			return err
		}
		key, secret, err := o.make()
		if err != nil {
			return err
		}
		return c.grant(ctx, edit, func(config *operator.Config) (operator.Key, string, error) {
			return key, secret, config.GrantKey(key)
		})
	}
	return c
}

// grant publishes a change that brings a key and prints the key. It is
// printed too when the outcome is unknown, since it may be in force.
func (c *command) grant(ctx context.Context, edit *publishOptions, change func(*operator.Config) (operator.Key, string, error)) error {
	opened, err := edit.conn.open()
	if err != nil {
		return err
	}
	var key operator.Key
	var secret string
	published, err := editConfig(ctx, opened, func(config *operator.Config) (changeErr error) {
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
		c.env.note("version %d, zone %s: %s", published.Version, z.Zone, z.State)
	}
	return spreadError(published, edit.everywhere)
}
