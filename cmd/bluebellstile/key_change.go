package main

import (
	"context"
	"flag"

	"github.com/bluebellstile/bluebellstile/operator"
)

func newKeyRotate(env *environment) *command {
	publishOpts := &publishOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "key rotate",
		synopsis:  "create a second key with the rights of an existing one",
		arguments: "OLD-ID NEW-ID",
		details:   "Both keys work until the old one is withdrawn.",
		examples:  []string{"bluebellstile key rotate press-1 press-2", "bluebellstile key withdraw press-1"},
	}
	c.flags = func(f *flag.FlagSet) {
		publishOpts.addFlags(f)
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return usageError("OLD-ID and NEW-ID are required, %d arguments were given", len(args))
		}
		return c.publishKey(ctx, publishOpts, func(config *operator.Config) (operator.Key, string, error) {
			return config.RotateKey(args[0], args[1])
		})
	}
	return c
}

func newKeyWithdraw(env *environment) *command {
	publishOpts := &publishOptions{conn: clientFlags{env: env}}
	c := &command{
		env:       env,
		path:      "key withdraw",
		synopsis:  "withdraw a key, so that it is refused everywhere",
		arguments: "ID",
		details: "Mark the key as withdrawn in the program that prints your configuration too, or its next publication grants it again.\n" +
			"A zone that is cut off refuses all work with keys after the freshness bound, or after a queue's key_grace.",
		examples: []string{"bluebellstile key withdraw press-1"},
	}
	c.flags = func(f *flag.FlagSet) {
		publishOpts.addFlags(f)
		c.addJSONFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		id, err := singleArgument(args, "ID")
		if err != nil {
			return err
		}
		apiClient, err := publishOpts.conn.newClient()
		if err != nil {
			return err
		}
		published, err := editConfig(ctx, apiClient, func(config *operator.Config) error { return config.WithdrawKey(id) })
		if err != nil {
			return err
		}
		return c.reportPublication(published, publishOpts.everywhere)
	}
	return c
}
