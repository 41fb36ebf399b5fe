package main

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/logging"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/internal/transport"
	"github.com/bluebellstile/bluebellstile/platform"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
)

const (
	// settingsVariable names the settings file on the platform.
	settingsVariable = "BLUEBELLSTILE_CONFIG"
	// memoryShare is the part of the instance's memory at which the runtime
	// collects garbage eagerly; the rest is for stacks and the kernel.
	memoryShare = 0.6
	// adminHeaderTimeout bounds what a scraper may take to send its request.
	adminHeaderTimeout = 3 * time.Second
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
	logger, lines := logging.Open(os.Stdout, level, func(w io.Writer) slog.Handler { return newHandler(w, loaded.Log.Format, level) })
	defer lines.Close()
	logger = logger.With("daemon", loaded.Instance.Name)
	slog.SetDefault(logger)
	daemon := platform.New(loaded, observer(), logger)
	logger.Info("starting", "differs", loaded.String(), "build", buildVersion())
	if err := daemon.Start(); err != nil {
		logger.Error("not started", "error", err)
		return exitFailed
	}
	admin, err := serveAdmin(loaded.Listen.Admin, lines)
	if err != nil {
		// Without metrics the daemon still serves its callers.
		logger.Error("metrics are not served; check [listen] admin", "error", err)
	}
	code := await(&siteDaemon{Site: daemon, path: path, level: level, now: loaded})
	if admin != nil {
		_ = admin.Close()
	}
	logger.Info("stopped", "code", code)
	return code
}

// observer counts the traffic with the platform.
func observer() platform.Observer {
	return platform.Observer{
		Dialed: func(purpose string) { metrics.PlatformConnections.Add(purpose, 1) },
		Called: func(operation, result string) { metrics.PlatformCalls.Add(operation+" "+result, 1) },
		WrapConn: func(purpose, _ string, c net.Conn) net.Conn {
			return transport.CountBytes(c,
				func(n int) { metrics.PlatformBytes.Add(purpose+" received", int64(n)) },
				func(n int) { metrics.PlatformBytes.Add(purpose+" sent", int64(n)) })
		},
	}
}

// serveAdmin serves operators' scrapers.
func serveAdmin(address string, lines *logging.Writer) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for scrapers")
	}
	text := metrics.Handler()
	routes := bunrouter.New()
	routes.GET("/metrics", func(w http.ResponseWriter, r bunrouter.Request) error {
		metrics.LogLinesDropped.Set(lines.Dropped())
		text.ServeHTTP(w, r.Request)
		return nil
	})
	routes.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	server := &http.Server{Handler: routes, ReadHeaderTimeout: adminHeaderTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("metrics are not served any more", "error", err)
		}
	}()
	return server, nil
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
