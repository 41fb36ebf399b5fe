package main

import (
	"context"
	"flag"

	"github.com/bluebellstile/bluebellstile/operator"
)

func newKeyRotate(env *environment) *command {
	edit := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "key rotate",
		synopsis:  "grant a second key with the rights of the first",
		arguments: "OLD-ID NEW-ID",
		details:   "Both keys work until the old one is withdrawn.",
		examples:  []string{"bluebellstile key rotate press-1 press-2", "bluebellstile key withdraw press-1"},
	}
	c.flags = func(f *flag.FlagSet) {
		edit.flags(f)
		c.jsonFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return usageError("OLD-ID and NEW-ID are needed, %d arguments were given", len(args))
		}
		return c.grant(ctx, edit, func(config *operator.Config) (operator.Key, string, error) {
			return config.RotateKey(args[0], args[1])
		})
	}
	return c
}

func newKeyWithdraw(env *environment) *command {
	edit := &publishOptions{conn: connection{env: env}}
	c := &command{
		env:       env,
		path:      "key withdraw",
		synopsis:  "refuse a key everywhere from now on",
		arguments: "ID",
		details: "Mark it as withdrawn in the program that prints your configuration too, or its next publication grants it again.\n" +
			"A zone that is cut off refuses keyed work within the freshness bound, or after the key_grace of a queue.",
		examples: []string{"bluebellstile key withdraw press-1"},
	}
	c.flags = func(f *flag.FlagSet) {
		edit.flags(f)
		c.jsonFlag(f)
	}
	c.run = func(ctx context.Context, args []string) error {
		id, err := oneArgument(args, "ID")
		if err != nil {
			return err
		}
		opened, err := edit.conn.open()
		if err != nil {
			return err
		}
		published, err := editConfig(ctx, opened, func(config *operator.Config) error { return config.WithdrawKey(id) })
		if err != nil {
			return err
		}
		return c.finishPublication(published, edit.everywhere)
	}
	return c
}
