// Package admin is the operators' HTTP interface of a daemon: configuration,
// zones, metrics and health.
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

// Dependencies are what the interface needs from its daemon.
type Dependencies struct {
	Self      peer.Identity
	Journal   *journal.Journal
	Guard     *auth.Guard
	Directory *membership.Directory
	Clients   *peer.Clients
	// NotReadyReason says why the daemon should get no requests, or "".
	NotReadyReason func() string
	// Report computes the service-level report of all zones.
	Report func() *report.View
	Level  *slog.LevelVar
	Log    *slog.Logger
}

// Admin serves operators. It is safe for concurrent use.
type Admin struct {
	deps Dependencies
}

// New returns the operators' interface.
func New(deps Dependencies) *Admin { return &Admin{deps: deps} }

// Handler returns the routes.
func (a *Admin) Handler() http.Handler {
	routes := bunrouter.New()
	routes.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	routes.GET("/healthz", a.health)
	routes.GET("/readyz", a.ready)
	routes.GET("/admin/v1/version", a.version)
	routes.GET("/admin/v1/config", a.operator(a.getConfig))
	routes.POST("/admin/v1/config", a.operator(a.postConfig))
	routes.GET("/admin/v1/config/history", a.operator(a.getHistory))
	routes.POST("/admin/v1/config/revert", a.operator(a.postRevert))
	routes.GET("/admin/v1/zones", a.operator(a.getZones))
	routes.GET("/admin/v1/report", a.getReport)
	routes.PUT("/admin/v1/log-level", a.operator(a.putLevel))
	return routes
}

// health says that the process answers.
func (a *Admin) health(w http.ResponseWriter, _ bunrouter.Request) error {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	return nil
}

// readyBody says whether the daemon should get requests.
type readyBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// ready tells the balancer whether to send requests here.
func (a *Admin) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	reason := a.deps.NotReadyReason()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readyBody{Ready: reason == "", Reason: reason})
	return nil
}

// versionBody is the configuration version in force here.
type versionBody struct {
	Version uint64 `json:"version"`
	Applied uint64 `json:"applied"`
	// Stale says that the daemon can't prove the version to be the latest.
	Stale bool `json:"stale"`
}

// version tells the configuration version in force here; it needs no key.
func (a *Admin) version(w http.ResponseWriter, _ bunrouter.Request) error {
	_, version := a.deps.Journal.State().Config()
	writeJSON(w, http.StatusOK, versionBody{Version: version, Applied: a.deps.Journal.State().Applied(), Stale: a.deps.Guard.Stale()})
	return nil
}

// action is what an operator does under a key.
type action func(ctx context.Context, author string, body []byte) (any, *problem.Problem)

// operator checks the operator's key and writes the outcome of an action.
func (a *Admin) operator(do action) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeProblem(w, problem.Refuse(problem.BodyTooLarge, "send a smaller body", "%v", err))
			return nil
		}
		author, p := a.author(r.Request, body)
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

// author returns the id of the operator's key. Before there is any
// configuration there is nothing to protect from being read, and a key of the
// one that is being published admits to that.
func (a *Admin) author(r *http.Request, body []byte) (string, *problem.Problem) {
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
		return "", invalid(err)
	}
	return auth.NewGuard(fixed{cfg}, func() time.Duration { return 0 }, time.Second).Operator(secret)
}

// fixed is a configuration that is not in force.
type fixed struct{ cfg *operator.Config }

// Config implements auth.Configuration.
func (f fixed) Config() (*operator.Config, uint64) { return f.cfg, 1 }

// levelBody is a log level.
type levelBody struct {
	Level slog.Level `json:"level"`
}

// putLevel changes the log level at run time.
func (a *Admin) putLevel(_ context.Context, author string, body []byte) (any, *problem.Problem) {
	var wanted levelBody
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"level": "DEBUG"}`, "%v", err)
	}
	a.deps.Level.Set(wanted.Level)
	a.deps.Log.Info("log level changed", "author", author, "level", wanted.Level.String())
	return wanted, nil
}

// writeProblem writes a problem document.
func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	problem.Write(w, p, p.Status(), "")
}

// writeJSON writes a body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
