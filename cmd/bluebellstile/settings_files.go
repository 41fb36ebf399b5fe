package main

import (
	"context"

	"github.com/bluebellstile/bluebellstile/internal/settings"
)

// newSettingsCommand returns the command settings, whose subcommands check a
// settings file of the daemon and print a sample.
func newSettingsCommand(env *environment) *parentCommand {
	return &parentCommand{
		env:         env,
		name:        "settings",
		synopsis:    "check the daemon's settings and print a sample",
		subcommands: []*command{newSettingsCheck(env), newSettingsSample(env)},
	}
}

func newSettingsCheck(env *environment) *command {
	return &command{
		env:       env,
		path:      "settings check",
		synopsis:  "check a settings file of bluebellstiled",
		arguments: "FILE",
		examples:  []string{"bluebellstile settings check /etc/bluebellstile/daemon.ini"},
		run: func(_ context.Context, args []string) error {
			name, err := singleArgument(args, "FILE")
			if err != nil {
				return err
			}
			if _, err := settings.Load(name); err != nil {
				return err
			}
			return env.print(name + ": ok\n")
		},
	}
}

func newSettingsSample(env *environment) *command {
	return &command{
		env:      env,
		path:     "settings sample",
		synopsis: "print a settings file with every key and its default",
		examples: []string{"bluebellstile settings sample > daemon.ini"},
		run: func(_ context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			return env.print(settings.Sample())
		},
	}
}
