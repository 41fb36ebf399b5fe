// Command bluebellstiled is the daemon that runs on every entry instance. It
// serves callers and, while it holds its availability zone, places the zone's
// work.
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

// defaultSettings is the settings file of a daemon that is not told one.
const defaultSettings = "bluebellstiled.ini"

func main() {
	path := flag.String("config", "", "settings file; "+defaultSettings+" unless given, with -site that of $"+settingsVariable)
	check := flag.Bool("check", false, "check the settings file and exit")
	sample := flag.Bool("sample", false, "print a sample settings file and exit")
	site := flag.Bool("site", false, "run on the users' platform")
	flag.Parse()
	if *site {
		os.Exit(runSite(*path, *check, *sample))
	}
	os.Exit(run(*path, *check, *sample))
}

// run runs the daemon until a signal ends it and returns the exit code.
func run(path string, check, sample bool) int {
	if sample {
		fmt.Print(settings.Sample())
		return exitOK
	}
	if path == "" {
		path = defaultSettings
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
	announce(daemon)
	return await(&cellDaemon{Server: daemon, path: path})
}

// daemon is what the signals of the operating system act on.
type daemon interface {
	// Dying returns a channel that is closed when the daemon has failed.
	Dying() <-chan struct{}
	// reload reads the settings again; a file with an error changes nothing.
	reload()
	// stop shuts the daemon down gracefully.
	stop(ctx context.Context) error
}

// cellDaemon is a daemon of a cell with its own log and list.
type cellDaemon struct {
	*server.Server
	path string
}

// newLogger returns a logger to standard error.
func newLogger(format settings.LogFormat, level *slog.LevelVar) *slog.Logger {
	return slog.New(newHandler(os.Stderr, format, level))
}

// newHandler returns the handler that forms lines.
func newHandler(w io.Writer, format settings.LogFormat, level *slog.LevelVar) slog.Handler {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	if format == settings.LogJSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// plainErrors logs the message of an error without its stack.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// addresses is the line by which the daemon says where it listens.
type addresses struct {
	API   string `json:"api"`
	Peer  string `json:"peer"`
	Admin string `json:"admin"`
}

// announce prints the addresses to standard output.
func announce(daemon *server.Server) {
	var a addresses
	a.API, a.Peer, a.Admin = daemon.Addresses()
	_ = json.NewEncoder(os.Stdout).Encode(a)
}

// await reloads on SIGHUP and stops on SIGTERM or SIGINT.
func await(d daemon) int {
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
