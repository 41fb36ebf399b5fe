// Command profiled runs the daemon's parts as bluebellstiled does and writes a
// profile of their processor time, to find the cause of a slope. It is given
// to capacity by -daemon and is no part of the product.
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

// run serves and writes the profile to the directory PROFILE_DIR.
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
