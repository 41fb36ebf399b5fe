// Command profiled runs the same daemon as bluebellstiled and writes a CPU profile
// of it, to find the cause of a slope. It is meant for the -daemon flag of command
// capacity and is not part of the product.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/pprof"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/server"
	"github.com/bluebellstile/bluebellstile/internal/settings"
)

func main() {
	path := flag.String("config", "bluebellstiled.ini", "settings file")
	length := flag.Duration("length", 8*time.Second, "time that the profile spans")
	after := flag.Duration("after", 4*time.Second, "time before the profile begins")
	flag.Parse()
	if err := run(*path, *after, *length); err != nil {
		fmt.Fprintln(os.Stderr, "profiled:", err)
		os.Exit(1)
	}
}

// run serves until the daemon ends, and writes the profile of the given length,
// which begins after the given delay, to the directory that the environment
// variable PROFILE_DIR names.
func run(path string, after, length time.Duration) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	daemon, err := server.New(loaded, level, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	daemon.Start()
	time.Sleep(after)
	f, err := os.Create(filepath.Join(os.Getenv("PROFILE_DIR"), loaded.Instance.ID+".pprof"))
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	time.Sleep(length)
	pprof.StopCPUProfile()
	if err := f.Close(); err != nil {
		return err
	}
	<-daemon.Dying()
	return daemon.Stop(context.Background())
}
