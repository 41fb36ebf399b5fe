// Package admin implements the HTTP interface of a daemon for operators:
// configuration, zones, reports, log level, metrics and health. The status of
// a zone comes from its holder, the daemon that schedules the zone's work.
package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/auth"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/report"
	"github.com/bluebellstile/bluebellstile/operator"
	"github.com/uptrace/bunrouter"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 1 << 20

// Dependencies are the parts of the daemon that the interface uses.
type Dependencies struct {
	Self      peer.Identity
	Journal   *journal.Journal
	Guard     *auth.Guard
	Directory *membership.Directory
	Clients   *peer.Clients
	// NotReadyReason returns the reason why the daemon should get no requests, or
	// "" if it is ready.
	NotReadyReason func() string
	// Report computes the service-level report of all zones.
	Report func() *report.View
	Level  *slog.LevelVar
	Log    *slog.Logger
}

// Admin serves the operators' HTTP interface. It is safe for concurrent use.
type Admin struct {
	deps Dependencies
}

// New returns an Admin that uses deps.
func New(deps Dependencies) *Admin { return &Admin{deps: deps} }

// Handler returns the handler of all routes.
func (a *Admin) Handler() http.Handler {
	routes := bunrouter.New()
	routes.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	routes.GET("/healthz", a.health)
	routes.GET("/readyz", a.ready)
	routes.GET("/admin/v1/version", a.version)
	routes.GET("/admin/v1/config", a.withOperator(a.getConfig))
	routes.POST("/admin/v1/config", a.withOperator(a.postConfig))
	routes.GET("/admin/v1/config/history", a.withOperator(a.getHistory))
	routes.POST("/admin/v1/config/revert", a.withOperator(a.postRevert))
	routes.GET("/admin/v1/zones", a.withOperator(a.getZones))
	routes.GET("/admin/v1/report", a.getReport)
	routes.PUT("/admin/v1/log-level", a.withOperator(a.putLogLevel))
	return routes
}

// health answers the health check, which shows only that the process responds.
func (a *Admin) health(w http.ResponseWriter, _ bunrouter.Request) error {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	return nil
}

// readyBody is the response to a readiness check.
type readyBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// ready answers the readiness check by which the load balancer decides whether
// to send requests to this daemon.
func (a *Admin) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	reason := a.deps.NotReadyReason()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readyBody{Ready: reason == "", Reason: reason})
	return nil
}

// versionBody is the configuration version in force in this daemon.
type versionBody struct {
	Version uint64 `json:"version"`
	// Applied is the offset of the last applied log record.
	Applied uint64 `json:"applied"`
	// Stale is set if the daemon can't prove that the version is the latest.
	Stale bool `json:"stale"`
}

// version answers with the configuration version in force in this daemon. It
// requires no key.
func (a *Admin) version(w http.ResponseWriter, _ bunrouter.Request) error {
	_, version := a.deps.Journal.State().Config()
	writeJSON(w, http.StatusOK, versionBody{Version: version, Applied: a.deps.Journal.State().Applied(), Stale: a.deps.Guard.Stale()})
	return nil
}

// action handles a request of an operator. author is the id of the operator's
// key. It returns the response body, or a problem.
type action func(ctx context.Context, author string, body []byte) (any, *problem.Problem)

// withOperator returns a handler that checks the operator's key, runs the
// action and writes its response or problem.
func (a *Admin) withOperator(do action) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeProblem(w, problem.Refuse(problem.BodyTooLarge, "send a smaller body", "%v", err))
			return nil
		}
		author, p := a.authenticate(r.Request, body)
		if p != nil {
			writeProblem(w, p)
			return nil
		}
		answer, p := do(r.Context(), author, body)
		if p != nil {
			a.deps.Log.Info("operator's action refused", "author", author, "path", r.URL.Path, "code", p.Code, "detail", p.Detail)
			writeProblem(w, p)
			return nil
		}
		writeJSON(w, http.StatusOK, answer)
		return nil
	}
}

// authenticate checks the operator's key and returns its id. Before there is any
// configuration, there is nothing whose reading must be protected, and the first
// configuration can be published with an operator's key that it contains.
func (a *Admin) authenticate(r *http.Request, body []byte) (string, *problem.Problem) {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !a.deps.Guard.Unconfigured() {
		return a.deps.Guard.Operator(secret)
	}
	if r.Method == http.MethodGet {
		return "", nil
	}
	var first publishBody
	if json.Unmarshal(body, &first) != nil || first.Text == "" {
		return "", problem.Refuse(problem.KeyRefused, "publish a configuration that has the operator's key", "no configuration is in force yet")
	}
	cfg, err := operator.Parse(first.Text)
	if err != nil {
		return "", invalidConfig(err)
	}
	return auth.NewGuard(fixedConfig{cfg}, func() time.Duration { return 0 }, time.Second).Operator(secret)
}

// fixedConfig is an auth.Configuration with a given configuration, which needs
// not be in force.
type fixedConfig struct{ cfg *operator.Config }

// Config implements auth.Configuration.
func (f fixedConfig) Config() (*operator.Config, uint64) { return f.cfg, 1 }

// levelBody is the request and the response of a change of the log level.
type levelBody struct {
	Level slog.Level `json:"level"`
}

// putLogLevel changes the log level of the running daemon.
func (a *Admin) putLogLevel(_ context.Context, author string, body []byte) (any, *problem.Problem) {
	var req levelBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"level": "DEBUG"}`, "%v", err)
	}
	a.deps.Level.Set(req.Level)
	a.deps.Log.Info("log level changed", "author", author, "level", req.Level.String())
	return req, nil
}

// writeProblem writes a problem document.
func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	problem.Write(w, p, p.Status(), "")
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
