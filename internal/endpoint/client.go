package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds and defaults of the client.
const (
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes = 64 << 20
	// MaxPollWait bounds how long an endpoint may hold a poll for events.
	MaxPollWait = 30 * time.Second

	defaultTimeout = 2 * time.Second
	maxErrorBytes  = 512
)

// Client sends commands to one endpoint. It is safe for concurrent use.
type Client struct {
	address string
	pool    *Pool
	timeout time.Duration
}

// Option changes a default of a Client.
type Option func(*Client)

// WithPool makes the client use p instead of the process's shared pool.
func WithPool(p *Pool) Option { return func(c *Client) { c.pool = p } }

// WithTimeout bounds each command. The wait of a poll for events is added to
// it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// NewClient returns a client of the endpoint at address, host:port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{address: address, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	if c.pool == nil {
		c.pool = SharedPool()
	}
	return c
}

// Address returns the endpoint's address.
func (c *Client) Address() string { return c.address }

// Attach makes the request's epoch the only one that the endpoint obeys and
// returns the endpoint's inventory. It grants no lease: the first heartbeat
// with the returned token does.
func (c *Client) Attach(ctx context.Context, req *AttachRequest) (*AttachResponse, error) {
	resp, err := call[AttachResponse](ctx, c, PathAttach, req, 0)
	if err != nil {
		return nil, err
	}
	if err := resp.validate(); err != nil {
		return nil, c.newError(PathAttach, KindMalformed, true, err)
	}
	return resp, nil
}

// Heartbeat renews the lease of the endpoint's tasks.
func (c *Client) Heartbeat(ctx context.Context, req *HeartbeatRequest) (*HeartbeatResponse, error) {
	return call[HeartbeatResponse](ctx, c, PathHeartbeat, req, 0)
}

// Start starts tasks. Every task that the response doesn't list as refused
// runs.
func (c *Client) Start(ctx context.Context, req *StartRequest) (*StartResponse, error) {
	return call[StartResponse](ctx, c, PathStart, req, 0)
}

// Stop stops, checkpoints or throttles tasks.
func (c *Client) Stop(ctx context.Context, req *StopRequest) (*StopResponse, error) {
	return call[StopResponse](ctx, c, PathStop, req, 0)
}

// Events polls for events. Events with invalid part numbers are dropped.
func (c *Client) Events(ctx context.Context, req *EventsRequest) (*EventsResponse, error) {
	wait := time.Duration(req.WaitMS) * time.Millisecond
	resp, err := call[EventsResponse](ctx, c, PathEvents, req, min(wait, MaxPollWait))
	if err != nil {
		return nil, err
	}
	received := len(resp.Events)
	resp.Events = validEvents(resp.Events)
	c.pool.metrics.Add(MetricInvalidEvents, int64(received-len(resp.Events)))
	return resp, nil
}

// Ack lets the endpoint forget finished tasks.
func (c *Client) Ack(ctx context.Context, req *AckRequest) error {
	_, err := call[struct{}](ctx, c, PathAck, req, 0)
	return err
}

// call sends one command and decodes its response.
func call[T any](ctx context.Context, c *Client, path string, body any, wait time.Duration) (*T, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, c.newError(path, KindRefused, false, errors.Wrap(err, "encode command"))
	}
	status, answer, err := c.post(ctx, path, data, wait)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.statusError(path, status, answer)
	}
	out, err := decode[T](answer)
	if err != nil {
		return nil, c.newError(path, KindMalformed, true, err)
	}
	return out, nil
}

// post makes the HTTP exchange and returns the status and the body.
func (c *Client) post(ctx context.Context, path string, data []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, c.newError(path, KindRefused, false, errors.Wrap(err, "build the request; check the endpoint's address"))
	}
	req.Header.Set("Content-Type", "application/json")
	c.pool.commands.Add(path, 1)
	c.pool.metrics.Add(MetricBytesSent, int64(len(data)))
	resp, err := c.pool.client.Do(req)
	if err != nil {
		return 0, nil, c.newError(path, KindUnreachable, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	c.pool.metrics.Add(MetricBytesReceived, int64(len(answer)))
	if err != nil {
		return 0, nil, c.newError(path, KindUnreachable, true, err)
	}
	if len(answer) > MaxResponseBytes {
		err := errors.Errorf("response exceeds %d bytes", MaxResponseBytes)
		return 0, nil, c.newError(path, KindMalformed, true, err)
	}
	return resp.StatusCode, answer, nil
}

// statusError classifies a response by its status.
func (c *Client) statusError(path string, status int, body []byte) error {
	text := body[:min(len(body), maxErrorBytes)]
	cause := errors.Errorf("status %d: %s", status, strings.Join(strings.Fields(string(text)), " "))
	switch {
	case status == StatusFenced:
		fenced, err := decode[FencedBody](body)
		if err != nil {
			return c.newError(path, KindMalformed, false, err)
		}
		e := c.newError(path, KindFenced, false, cause)
		e.Epoch = fenced.Epoch
		return e
	case status == StatusNotAttached:
		return c.newError(path, KindNotAttached, false, cause)
	case status >= http.StatusInternalServerError:
		return c.newError(path, KindUnreachable, true, cause)
	}
	return c.newError(path, KindRefused, false, cause)
}

// newError builds the error of a command and counts it.
func (c *Client) newError(path string, kind ErrorKind, maybeDelivered bool, cause error) *Error {
	c.pool.failures.Add(string(kind), 1)
	return &Error{Kind: kind, Op: path, Address: c.address, MaybeDelivered: maybeDelivered, cause: cause}
}
