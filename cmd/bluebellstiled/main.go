// Command bluebellstiled is the daemon that runs on every entry instance. It
// serves callers and, while it holds its availability zone, places the zone's
// work.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
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

func main() {
	path := flag.String("config", "bluebellstiled.ini", "settings file")
	check := flag.Bool("check", false, "check the settings file and exit")
	sample := flag.Bool("sample", false, "print a sample settings file and exit")
	flag.Parse()
	os.Exit(run(*path, *check, *sample))
}

// run runs the daemon until a signal ends it and returns the exit code.
func run(path string, check, sample bool) int {
	if sample {
		fmt.Print(settings.Sample())
		return exitOK
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
	return await(daemon, path)
}

// newLogger returns a logger to standard error.
func newLogger(format settings.LogFormat, level *slog.LevelVar) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	if format == settings.LogJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
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
func await(daemon *server.Server, path string) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-daemon.Dying():
			return stop(daemon)
		case s := <-signals:
			if s != syscall.SIGHUP {
				return stop(daemon)
			}
			reload(daemon, path)
		}
	}
}

// reload reads the settings again; a file with an error changes nothing.
func reload(daemon *server.Server, path string) {
	next, err := settings.Load(path)
	if err != nil {
		slog.Error("settings not reloaded", "error", err)
		return
	}
	daemon.Reload(next)
}

// stop shuts the daemon down gracefully.
func stop(daemon *server.Server) int {
	if err := daemon.Stop(context.Background()); err != nil {
		slog.Error("daemon did not stop cleanly", "error", err)
		return exitFailed
	}
	return exitOK
}
