package loglist

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Log is the platform's append-only log. Offsets begin at 1.
type Log interface {
	// Append adds a record at least once and returns the offset of one of
	// its copies; readers drop repeated ids. An error of KindAppendUnknown
	// means that the record may be in the log, any other that it is not.
	Append(ctx context.Context, id string, data []byte) (offset uint64, err error)
	// Read returns up to limit records from offset from on, waiting up to
	// wait for the first. From 0 means the first retained record.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*ReadResponse, error)
}

// Lister reads the platform's list of instances, which lags behind their
// actual state.
type Lister interface {
	// Instances returns the instances that match the filter. If the platform
	// supports entity tags, an unchanged list isn't transferred again.
	Instances(ctx context.Context, filter Filter) (*InstanceList, error)
}

// Operations, as named in errors and metrics.
const (
	opAppend = "append"
	opRead   = "read"
	opList   = "list"
)

// Bounds and defaults of the client.
const (
	// MaxRecordBytes bounds the data of one record.
	MaxRecordBytes = 1 << 20
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes = 16 << 20

	defaultTimeout          = 2 * time.Second
	defaultMaxAttempts      = 4
	defaultBackoffFirst     = 20 * time.Millisecond
	defaultBackoffMax       = time.Second
	defaultRetryRate        = 10 // retries per second
	defaultRetryBurst       = 20
	defaultBreakerThreshold = 5
	defaultBreakerCooldown  = time.Second
	// maxIdleConns is the number of idle connections kept per platform host.
	maxIdleConns = 16
)

// Client implements Log and Lister over HTTP. It is safe for concurrent use.
type Client struct {
	logURL  string
	listURL string
	http    *http.Client

	timeout          time.Duration
	maxAttempts      uint
	backoffFirst     time.Duration
	retryBudget      *rate.Limiter
	breakerThreshold int
	breakerCooldown  time.Duration
	metricsRoot      *expvar.Map

	breakers map[string]*breaker
	metrics  *metrics
	// end is the highest end of the log seen so far. The log's end never falls.
	end   atomic.Uint64
	lists listCache
}

var (
	_ Log    = (*Client)(nil)
	_ Lister = (*Client)(nil)
)

// Option changes a default of a Client.
type Option func(*Client)

// WithTimeout bounds each attempt. The wait of a long poll is added to it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMaxAttempts bounds the attempts of one call.
func WithMaxAttempts(n uint) Option { return func(c *Client) { c.maxAttempts = n } }

// WithBackoff sets the mean delay before the first retry.
func WithBackoff(first time.Duration) Option { return func(c *Client) { c.backoffFirst = first } }

// WithRetryBudget limits the retries of all calls together to perSecond, with a
// burst.
func WithRetryBudget(perSecond float64, burst int) Option {
	return func(c *Client) { c.retryBudget = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithBreaker opens a circuit breaker after threshold consecutive failures of
// an operation and probes it once per cooldown.
func WithBreaker(threshold int, cooldown time.Duration) Option {
	return func(c *Client) { c.breakerThreshold, c.breakerCooldown = threshold, cooldown }
}

// WithMetrics puts the client's metrics into root, which the caller publishes.
func WithMetrics(root *expvar.Map) Option { return func(c *Client) { c.metricsRoot = root } }

// NewClient returns a client of the log and the list at two base URLs.
func NewClient(logURL, listURL string, opts ...Option) *Client {
	c := &Client{
		logURL:           strings.TrimSuffix(logURL, "/"),
		listURL:          strings.TrimSuffix(listURL, "/"),
		timeout:          defaultTimeout,
		maxAttempts:      defaultMaxAttempts,
		backoffFirst:     defaultBackoffFirst,
		retryBudget:      rate.NewLimiter(defaultRetryRate, defaultRetryBurst),
		breakerThreshold: defaultBreakerThreshold,
		breakerCooldown:  defaultBreakerCooldown,
		metricsRoot:      new(expvar.Map).Init(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}}
	c.breakers = make(map[string]*breaker)
	for _, op := range []string{opAppend, opRead, opList} {
		c.breakers[op] = newBreaker(c.breakerThreshold, c.breakerCooldown)
	}
	c.metrics = newMetrics(c.metricsRoot, c.breakers)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// BreakerState returns the state of the breaker of "append", "read" or "list".
func (c *Client) BreakerState(op string) BreakerState { return c.breakers[op].state() }

// End returns the highest end of the log that any response has shown, or 0 if
// none is known.
func (c *Client) End() uint64 { return c.end.Load() }

// raiseEnd raises the known end of the log to end if that is higher.
func (c *Client) raiseEnd(end uint64) {
	for {
		known := c.end.Load()
		if end <= known || c.end.CompareAndSwap(known, end) {
			return
		}
	}
}

// retry calls attempt until it succeeds, fails permanently, or the maximum
// number of attempts, the retry budget or ctx is exhausted.
func retry[T any](ctx context.Context, c *Client, op string, attempt func() (T, error)) (T, error) {
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		if last != nil {
			c.metrics.retries.Add(op, 1)
		}
		value, err := attempt()
		last = err
		if err == nil {
			return value, nil
		}
		var failure *attemptError
		if errors.As(err, &failure) && failure.permanent {
			return value, backoff.Permanent(err)
		}
		if !c.retryBudget.Allow() {
			return value, backoff.Permanent(errors.WithMessage(err, "retry budget is exhausted"))
		}
		return value, err
	}, backoff.WithBackOff(c.newBackoff()), backoff.WithMaxTries(c.maxAttempts), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && last != nil {
		err = errors.WithMessage(last, ctx.Err().Error())
	}
	return value, err
}

// newBackoff returns the jittered delays of one call.
func (c *Client) newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.backoffFirst
	b.MaxInterval = defaultBackoffMax
	return b
}

// newError turns the last error of a call into an Error and counts it.
func (c *Client) newError(op string, kind ErrorKind, err error) error {
	e := &Error{Kind: kind, Op: op, cause: err}
	var attempt *attemptError
	if errors.As(err, &attempt) {
		e.First = attempt.first
	}
	c.metrics.failures.Add(op+"_"+string(kind), 1)
	return e
}

// kindOfAttempt returns the kind of the failed attempt in err's chain, or
// KindUnavailable if there is none.
func kindOfAttempt(err error) ErrorKind {
	var attempt *attemptError
	if errors.As(err, &attempt) {
		return attempt.kind
	}
	return KindUnavailable
}
