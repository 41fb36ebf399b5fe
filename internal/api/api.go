// Package api implements the HTTP interface of a daemon for callers, the
// clients that send requests and submit jobs. The response to a request holds
// its output; a job is stored, and its state can be read or watched later. A
// ticket identifies a request or a job when the caller sends it again. Requests
// and jobs are passed on to the holder, the daemon that schedules the zone's
// work.
package api

import (
	"context"
	"encoding/json"
	"github.com/pkg/errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/auth"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/intake"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/router"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/uptrace/bunrouter"
)

// Headers of the interface.
const (
	HeaderTicket     = "Bluebellstile-Ticket"
	HeaderIdempotent = "Bluebellstile-Idempotent"
	HeaderDeadline   = "Bluebellstile-Deadline"
	HeaderCommand    = "Bluebellstile-Command"
	HeaderVerdict    = "Bluebellstile-Verdict"
	HeaderRequestID  = "Bluebellstile-Request-Id"
	HeaderQueued     = "Bluebellstile-Queued-Ms"
)

// Limits of what a caller may send.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxInFlight bounds the number of requests in flight.
	MaxInFlight func() int
	// RequestTimeout is the deadline of a request if neither the caller nor the
	// queue sets one, and the upper limit of deadlines that callers set.
	RequestTimeout time.Duration
}

// ShutdownState is the state of a planned shutdown of the daemon.
type ShutdownState struct {
	// Leaving reports whether the shutdown has begun. The load balancer is then
	// instructed to send no more requests.
	Leaving func() bool
	// Refusing reports whether the load balancer has had time to react. New
	// requests are then refused, except those with a ticket, whose refusal
	// couldn't claim that they have not run.
	Refusing func() bool
}

// API serves the callers' HTTP interface. It is safe for concurrent use.
type API struct {
	guard    *auth.Guard
	observer Observer
	router   *router.Router
	limits   Limits
	log      *slog.Logger
	inFlight atomic.Int64
	shutdown ShutdownState
}

// New returns the API, which passes requests on through r.
func New(observer Observer, guard *auth.Guard, r *router.Router, limits Limits, shutdown ShutdownState, logger *slog.Logger) *API {
	return &API{observer: observer, guard: guard, router: r, limits: limits, log: logger, shutdown: shutdown}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	routes := bunrouter.New(
		bunrouter.Use(a.assignRequestID),
		bunrouter.WithNotFoundHandler(notFound),
		bunrouter.WithMethodNotAllowedHandler(methodNotAllowed),
	)
	routes.POST("/v1/tickets", a.handle(a.postTicket))
	routes.POST("/v1/queues/:queue/requests", a.handle(a.postRequest))
	routes.POST("/v1/queues/:queue/jobs", a.handle(a.postJob))
	routes.DELETE("/v1/requests/:ticket", a.handle(a.deleteRequest))
	routes.GET("/v1/jobs", a.handle(a.listJobs))
	routes.GET("/v1/jobs/:job", a.handle(a.getJob))
	routes.GET("/v1/jobs/:job/watch", a.handle(a.watchJob))
	routes.DELETE("/v1/jobs/:job", a.handle(a.deleteJob))
	return routes
}

// notFound answers paths that don't exist.
func notFound(w http.ResponseWriter, r bunrouter.Request) error {
	writeProblem(w, &problem.Problem{Code: problem.BadRequest, Verdict: problem.NotRun, Detail: "no resource " + r.URL.Path, Remedy: "see the documentation of the callers' interface"}, http.StatusNotFound, "")
	return nil
}

// methodNotAllowed answers methods that a path doesn't have.
func methodNotAllowed(w http.ResponseWriter, r bunrouter.Request) error {
	writeProblem(w, &problem.Problem{Code: problem.BadRequest, Verdict: problem.NotRun, Detail: r.Method + " is not allowed on " + r.URL.Path, Remedy: "see the documentation of the callers' interface"}, http.StatusMethodNotAllowed, "")
	return nil
}

// requestIDKey is the context key of the request's id.
type requestIDKey struct{}

// assignRequestID gives every request an id, which the response and the logs
// carry.
func (a *API) assignRequestID(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id := journal.NewID()
		w.Header().Set(HeaderRequestID, id)
		return next(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	}
}

// handler serves a route. It returns the text of the request's ticket, if it
// has one, and the problem to answer with, or nil if it has written a response.
type handler func(w http.ResponseWriter, r bunrouter.Request) (ticketText string, p *problem.Problem)

// handle adapts a handler to the router. It logs and counts the outcome and
// writes the handler's problem, if any.
func (a *API) handle(h handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		started := time.Now()
		text, p := a.serveWithinLimit(w, r, h)
		id, _ := r.Context().Value(requestIDKey{}).(string)
		logger := a.log.With("request", id, "path", r.URL.Path, "ticket", text, "took", time.Since(started))
		if p == nil {
			metrics.Requests.Add(string(problem.Done), 1)
			logger.Debug("request answered")
			return nil
		}
		metrics.Requests.Add(string(p.Verdict), 1)
		metrics.Refusals.Add(string(p.Code), 1)
		logger.Info("request refused or failed", "code", p.Code, "verdict", p.Verdict, "detail", p.Detail)
		writeProblem(w, p, p.Status(), text)
		return nil
	}
}

// serveWithinLimit runs a handler unless the daemon is shutting down or too many
// requests are in flight.
func (a *API) serveWithinLimit(w http.ResponseWriter, r bunrouter.Request, h handler) (string, *problem.Problem) {
	if a.shutdown.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if a.shutdown.Refusing() && r.Header.Get(HeaderTicket) == "" {
		return "", problem.Refuse(problem.ShuttingDown, "send it to another instance", "this instance is shutting down").WithRetryAfter(time.Second)
	}
	limit := int64(a.limits.MaxInFlight())
	if a.inFlight.Add(1) > limit {
		a.inFlight.Add(-1)
		text := r.Header.Get(HeaderTicket)
		p := problem.Refuse(problem.QueueFull, "retry after the hint, with backoff", "%d requests are being answered already", limit).WithRetryAfter(time.Second)
		return text, a.adjustVerdict(r.Context(), p, text)
	}
	defer a.inFlight.Add(-1)
	return h(w, r)
}

// writeProblem writes a problem document with the headers of the interface.
func writeProblem(w http.ResponseWriter, p *problem.Problem, status int, ticketText string) {
	w.Header().Set(HeaderVerdict, string(p.Verdict))
	if ticketText != "" {
		w.Header().Set(HeaderTicket, ticketText)
	}
	problem.Write(w, p, status, ticketText)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// bearerToken returns the bearer token, or "".
func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// bodyRetryAfter is after how long a caller may retry whose body was not read to its end.
const bodyRetryAfter = time.Second

// readBody reads the whole body of a request. It refuses a body that exceeds
// the limit.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.Refuse(problem.BodyTooLarge, "send a smaller body or split it into tasks of a job", "the body is over %d bytes", tooLarge.Limit)
	}
	w.Header().Set("Connection", "close")
	switch {
	case intake.FromContext(r.Context()).Cut():
		return nil, problem.Refuse(problem.Overloaded, "try again later", "the daemon gave the unfinished request up").WithRetryAfter(bodyRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, problem.Refuse(problem.BodyLate, "send the body at once", "the body did not arrive in time").WithRetryAfter(bodyRetryAfter)
	default:
		return nil, problem.Refuse(problem.TruncatedBody, "send the whole body", "the body ended early: %v", err)
	}
}

// ticketBody is the response with a new ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// queueBody is the request for a ticket of a queue.
type queueBody struct {
	Queue string `json:"queue"`
}

// postTicket issues a ticket for a queue that the caller may use.
func (a *API) postTicket(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	body, p := a.readBody(w, r.Request)
	if p != nil {
		return "", p
	}
	var req queueBody
	if err := json.Unmarshal(body, &req); err != nil {
		return "", problem.Refuse(problem.BadRequest, `send {"queue": "name"}`, "the body is not JSON: %v", err)
	}
	grant, p := a.guard.Admit(bearerToken(r.Request), req.Queue)
	if p != nil {
		return "", p
	}
	t, p := a.router.NewTicket(r.Context())
	if p != nil {
		a.observe(r, grant, p)
		return "", p
	}
	writeJSON(w, http.StatusCreated, ticketBody{Ticket: t.String()})
	return t.String(), nil
}

// postRequest runs a request and answers with its whole output.
func (a *API) postRequest(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	call, p := a.parseCall(w, r)
	if p != nil {
		text := r.Header.Get(HeaderTicket)
		return text, a.adjustVerdict(r.Context(), p, text)
	}
	answer := a.router.Run(r.Context(), call)
	text := ""
	if answer.Ticket.Nonce != "" {
		text = answer.Ticket.String()
	}
	if answer.Problem != nil {
		if answer.HolderUnreachable {
			a.observer.Answered(call.Team, call.Queue.Name, answer.Problem.Verdict, answer.Problem.Code)
		}
		return text, answer.Problem
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(answer.Output)))
	h.Set(HeaderVerdict, string(problem.Done))
	h.Set(HeaderTicket, text)
	h.Set(HeaderQueued, strconv.FormatInt(answer.QueueTime.Milliseconds(), 10))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Output)
	return text, nil
}

// adjustVerdict changes the verdict of a refused request with a ticket from
// NotRun to Unknown, since an earlier request with the same ticket may have run.
// The verdict stays NotRun if the zone's holder knows that none has run and bars
// the ticket, so that none will.
func (a *API) adjustVerdict(ctx context.Context, p *problem.Problem, ticketText string) *problem.Problem {
	t, err := ticket.Parse(ticketText)
	if err != nil || p.Verdict != problem.NotRun || a.router.Bar(ctx, t) {
		return p
	}
	adjusted := *p
	adjusted.Verdict = problem.Unknown
	return &adjusted
}

// parseCall checks the caller's key and the request, and converts the request.
func (a *API) parseCall(w http.ResponseWriter, r bunrouter.Request) (*router.Call, *problem.Problem) {
	grant, p := a.guard.Admit(bearerToken(r.Request), r.Param("queue"))
	if p != nil {
		return nil, p
	}
	call := &router.Call{
		Team:       grant.Team,
		KeyID:      grant.KeyID,
		Queue:      grant.Queue,
		Idempotent: grant.Queue.Idempotent,
		Command:    r.Header.Get(HeaderCommand),
		Deadline:   grant.Queue.Deadline,
		Size:       endpoint.Resources{Slots: 1},
	}
	if p := a.readHeaders(call, r.Header); p != nil {
		return nil, p
	}
	call.Input, p = a.readBody(w, r.Request)
	return call, p
}

// readHeaders sets the fields of call that the caller states in headers, and
// checks them.
func (a *API) readHeaders(call *router.Call, h http.Header) *problem.Problem {
	if text := h.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return problem.Refuse(problem.BadRequest, "send true or false", "%s is %q", HeaderIdempotent, text)
		}
		call.Idempotent = idempotent
	}
	if call.Deadline <= 0 {
		call.Deadline = a.limits.RequestTimeout
	}
	if text := h.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return problem.Refuse(problem.BadRequest, "send a positive duration such as 1.5s", "%s is %q", HeaderDeadline, text)
		}
		call.Deadline = min(d, a.limits.RequestTimeout)
	}
	if text := h.Get(HeaderTicket); text != "" {
		t, err := ticket.Parse(text)
		if err != nil {
			return problem.From(err, problem.NotRun)
		}
		call.Ticket = &t
	}
	if call.Command == "" {
		return problem.Refuse(problem.BadRequest, "name the command in "+HeaderCommand, "no command is given")
	}
	return nil
}

// deleteRequest cancels the request with the ticket in the path.
func (a *API) deleteRequest(w http.ResponseWriter, r bunrouter.Request) (string, *problem.Problem) {
	text := r.Param("ticket")
	t, err := ticket.Parse(text)
	if err != nil {
		return "", problem.From(err, problem.NotRun)
	}
	team, _, p := a.guard.Team(bearerToken(r.Request))
	if p != nil {
		return text, p
	}
	if p := a.router.CancelRequest(r.Context(), t, team); p != nil {
		return text, p
	}
	w.WriteHeader(http.StatusNoContent)
	return text, nil
}
