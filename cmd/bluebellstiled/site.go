package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/platform"
)

const (
	// settingsVariable names the settings file on the platform.
	settingsVariable = "BLUEBELLSTILE_CONFIG"
	// memoryShare is the part of the instance's memory at which the runtime
	// collects garbage eagerly; the rest is for stacks and the kernel.
	memoryShare = 0.6
)

// siteDaemon is the daemon on the platform.
type siteDaemon struct {
	*platform.Site
	path  string
	level *slog.LevelVar
	now   *settings.Site
}

// runSite runs the daemon on the platform and returns the exit code.
func runSite(path string, check, sample bool) int {
	if sample {
		fmt.Print(settings.SampleSite())
		return exitOK
	}
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	loaded, err := settings.LoadSite(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings: ok")
		return exitOK
	}
	const mega = 1 << 20
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.Limits.MemoryMB) * mega))
	level := new(slog.LevelVar)
	level.Set(loaded.Log.Level)
	logger := newLogger(loaded.Log.Format, level)
	slog.SetDefault(logger)
	daemon := platform.New(loaded, platform.Observer{}, logger)
	logger.Info("starting", "settings", loaded.String(), "build", buildVersion())
	if err := daemon.Start(); err != nil {
		logger.Error("not started", "error", err)
		return exitFailed
	}
	return await(&siteDaemon{Site: daemon, path: path, level: level, now: loaded})
}

// buildVersion returns the version that was built.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// reload implements daemon.
func (d *siteDaemon) reload() {
	next, err := settings.LoadSite(d.path)
	if err != nil {
		slog.Error("settings not reloaded", "error", err)
		return
	}
	merged, restart := d.now.Reload(next)
	d.now = merged
	d.level.Set(merged.Log.Level)
	slog.Info("settings reloaded", "need a restart", restart)
}

// stop implements daemon.
func (d *siteDaemon) stop(context.Context) error { return d.Stop() }
