package main

import (
	"context"

	"github.com/bluebellstile/bluebellstile/internal/settings"
)

// newSettingsFamily returns the commands on the daemon's settings.
func newSettingsFamily(env *environment) *family {
	return &family{
		env:      env,
		name:     "settings",
		synopsis: "check the daemon's settings and print a sample",
		members:  []*command{newSettingsCheck(env), newSettingsSample(env)},
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
			name, err := oneArgument(args, "FILE")
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
			if err := noArguments(args); err != nil {
				return err
			}
			return env.print(settings.Sample())
		},
	}
}
