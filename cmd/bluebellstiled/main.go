// Command bluebellstiled is the daemon that runs on every instance that accepts
// callers' requests.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. Without -site the daemon belongs
// to a cell with its own log and list of instances, in which each zone has a
// holder: the daemon that also schedules the zone's work. With -site it runs on
// the users' platform, where one holder schedules the work of the whole cell.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellstile/bluebellstile/internal/server"
	"github.com/bluebellstile/bluebellstile/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// defaultSettingsPath is the settings file that is read if neither -config nor
// -site is given.
const defaultSettingsPath = "bluebellstiled.ini"

func main() {
	path := flag.String("config", "", "settings file; "+defaultSettingsPath+" unless given, with -site that of $"+envSettingsPath)
	check := flag.Bool("check", false, "check the settings file and exit")
	sample := flag.Bool("sample", false, "print a sample settings file and exit")
	site := flag.Bool("site", false, "run on the users' platform")
	flag.Parse()
	if *site {
		os.Exit(runSite(*path, *check, *sample))
	}
	os.Exit(run(*path, *check, *sample))
}

// run runs the daemon of a cell until a signal or a failure ends it, and
// returns the exit code. With sample or check it only prints a sample of the
// settings or checks the file at path.
func run(path string, check, sample bool) int {
	if sample {
		fmt.Print(settings.Sample())
		return exitOK
	}
	if path == "" {
		path = defaultSettingsPath
	}
	loaded, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings: ok")
		return exitOK
	}
	level := new(slog.LevelVar)
	level.Set(loaded.Log.Level)
	daemon, err := server.New(loaded, level, newLogger(loaded.Log.Format, level))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	daemon.Start()
	printAddresses(daemon)
	return handleSignals(&cellDaemon{Server: daemon, path: path})
}

// daemon is a running daemon that handleSignals reloads and stops.
type daemon interface {
	// Dying returns a channel that is closed when the daemon fails or is
	// stopped.
	Dying() <-chan struct{}
	// reload reads the settings file again. If the file has an error, the
	// error is logged and the settings stay as they are.
	reload()
	// stop shuts the daemon down gracefully.
	stop(ctx context.Context) error
}

// cellDaemon is the daemon of a cell that has its own log and list of
// instances, instead of those of the users' platform.
type cellDaemon struct {
	*server.Server
	path string
}

// newLogger returns a logger that writes to standard error.
func newLogger(format settings.LogFormat, level *slog.LevelVar) *slog.Logger {
	return slog.New(newHandler(os.Stderr, format, level))
}

// newHandler returns a handler that writes log records to w in the given format.
func newHandler(w io.Writer, format settings.LogFormat, level *slog.LevelVar) slog.Handler {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorsWithoutStack}
	if format == settings.LogJSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// errorsWithoutStack replaces an error in a log attribute by its message, which
// leaves out the stack trace.
func errorsWithoutStack(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// addresses is the JSON line on standard output that tells where the daemon
// listens.
type addresses struct {
	API   string `json:"api"`
	Peer  string `json:"peer"`
	Admin string `json:"admin"`
}

// printAddresses prints the daemon's listen addresses to standard output.
func printAddresses(daemon *server.Server) {
	var a addresses
	a.API, a.Peer, a.Admin = daemon.Addresses()
	_ = json.NewEncoder(os.Stdout).Encode(a)
}

// handleSignals reloads the settings on SIGHUP. It stops the daemon on SIGTERM, on
// SIGINT or when the daemon has failed, and returns the exit code.
func handleSignals(d daemon) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-d.Dying():
			return stop(d)
		case s := <-signals:
			if s != syscall.SIGHUP {
				return stop(d)
			}
			d.reload()
		}
	}
}

// reload implements daemon.
func (d *cellDaemon) reload() {
	next, err := settings.Load(d.path)
	if err != nil {
		slog.Error("settings not reloaded", "error", err)
		return
	}
	d.Reload(next)
}

// stop implements daemon.
func (d *cellDaemon) stop(ctx context.Context) error { return d.Stop(ctx) }

// stop shuts a daemon down and returns the exit code.
func stop(d daemon) int {
	if err := d.stop(context.Background()); err != nil {
		slog.Error("daemon did not stop cleanly", "error", err)
		return exitFailed
	}
	return exitOK
}
