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

	"github.com/bluebellstile/bluebellstile/internal/intake"
	"github.com/bluebellstile/bluebellstile/internal/logging"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/internal/transport"
	"github.com/bluebellstile/bluebellstile/platform"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
)

const (
	// envSettingsPath is the environment variable with the path of the
	// settings file on the platform.
	envSettingsPath = "BLUEBELLSTILE_CONFIG"
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of
	// the memory that the process may use. Close to the limit the runtime
	// collects garbage eagerly. The rest is left for memory that the limit
	// doesn't count, such as that of the kernel.
	memoryLimitFraction = 0.6
)

// siteDaemon is the daemon on the users' platform.
type siteDaemon struct {
	*platform.Site
	path  string
	level *slog.LevelVar
	// current holds the settings in effect.
	current *settings.Site
}

// runSite runs the daemon on the users' platform until a signal or a failure
// ends it, and returns the exit code. With sample or check it only prints a
// sample of the settings or checks the file at path.
func runSite(path string, check, sample bool) int {
	if sample {
		fmt.Print(settings.SampleSite())
		return exitOK
	}
	if path == "" {
		path = os.Getenv(envSettingsPath)
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
	const bytesPerMB = 1 << 20
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.Limits.MemoryMB) * bytesPerMB))
	level := new(slog.LevelVar)
	level.Set(loaded.Log.Level)
	logger, logWriter := logging.Open(os.Stdout, level, func(w io.Writer) slog.Handler { return newHandler(w, loaded.Log.Format, level) })
	defer logWriter.Close()
	logger = logger.With("daemon", loaded.Instance.Name)
	slog.SetDefault(logger)
	daemon := platform.New(loaded, newObserver(), logger)
	logger.Info("starting", "differs", loaded.String(), "build", buildVersion())
	if err := daemon.Start(); err != nil {
		logger.Error("not started", "error", err)
		return exitFailed
	}
	admin, err := serveAdmin(loaded.Listen.Admin, logWriter)
	if err != nil {
		// The daemon can serve its callers without metrics, so this is not
		// fatal.
		logger.Error("metrics are not served; check [listen] admin", "error", err)
	}
	code := handleSignals(&siteDaemon{Site: daemon, path: path, level: level, current: loaded})
	if admin != nil {
		_ = admin.Close()
	}
	logger.Info("stopped", "code", code)
	return code
}

// newObserver returns callbacks that count the platform's connections, calls and
// bytes in the daemon's metrics.
func newObserver() platform.Observer {
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

// serveAdmin starts an HTTP server for the operators' metrics scrapers, with
// the metrics as text at /metrics and as JSON at /debug/vars.
func serveAdmin(address string, logWriter *logging.Writer) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics scrapers")
	}
	text := metrics.Handler()
	reporter := intake.NewReporter(slog.Default())
	routes := bunrouter.New()
	routes.GET("/metrics", func(w http.ResponseWriter, r bunrouter.Request) error {
		metrics.LogLinesDropped.Set(logWriter.Dropped())
		text.ServeHTTP(w, r.Request)
		return nil
	})
	routes.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	server, guarded := intake.NewSmallServer(routes, func(cause intake.Cause, address, _ string) {
		reporter.Report(cause, "", address, "metrics")
	})
	go func() {
		if err := server.Serve(guarded(listener)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("metrics are not served any more", "error", err)
		}
	}()
	return server, nil
}

// buildVersion returns the commit that the binary was built from, or the
// module's version if the build has no version control information.
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
	merged, restart := d.current.Reload(next)
	d.current = merged
	d.level.Set(merged.Log.Level)
	slog.Info("settings reloaded", "need a restart", restart)
}

// stop implements daemon.
func (d *siteDaemon) stop(context.Context) error { return d.Stop() }
