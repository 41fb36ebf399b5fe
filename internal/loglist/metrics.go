package loglist

import (
	"context"
	"expvar"
)

// Metric names within the client's expvar map.
const (
	// MetricAppends counts appends that succeeded, by role.
	MetricAppends = "appends"
	// MetricFailures counts calls that failed, by operation and kind.
	MetricFailures = "failures"
	// MetricRetries counts repeated attempts, by operation.
	MetricRetries = "retries"
	// MetricBytesSent counts bytes of request bodies.
	MetricBytesSent = "bytes_sent"
	// MetricBytesReceived counts bytes of response bodies.
	MetricBytesReceived = "bytes_received"
	// MetricResolved counts appends whose response was lost and whose record
	// was then found in the log.
	MetricResolved = "appends_resolved"
	// MetricBreakers is the state of each circuit breaker, by operation.
	MetricBreakers = "breakers"
)

// defaultRole is the role of appends whose context has none.
const defaultRole = "other"

type roleKey struct{}

// WithRole returns a context whose appends MetricAppends counts under role. It
// is unrelated to the Role of an instance.
func WithRole(ctx context.Context, role string) context.Context {
	return context.WithValue(ctx, roleKey{}, role)
}

// roleOf returns the role of ctx, or defaultRole.
func roleOf(ctx context.Context) string {
	if role, ok := ctx.Value(roleKey{}).(string); ok {
		return role
	}
	return defaultRole
}

// metrics are the client's counters.
type metrics struct {
	appends  *expvar.Map
	failures *expvar.Map
	retries  *expvar.Map
	sent     *expvar.Int
	received *expvar.Int
	resolved *expvar.Int
}

// newMetrics registers the counters and the breakers' states in root.
func newMetrics(root *expvar.Map, breakers map[string]*breaker) *metrics {
	m := &metrics{
		appends:  new(expvar.Map).Init(),
		failures: new(expvar.Map).Init(),
		retries:  new(expvar.Map).Init(),
		sent:     new(expvar.Int),
		received: new(expvar.Int),
		resolved: new(expvar.Int),
	}
	states := new(expvar.Map).Init()
	for op, b := range breakers {
		states.Set(op, expvar.Func(func() any { return b.state() }))
	}
	root.Set(MetricAppends, m.appends)
	root.Set(MetricFailures, m.failures)
	root.Set(MetricRetries, m.retries)
	root.Set(MetricBytesSent, m.sent)
	root.Set(MetricBytesReceived, m.received)
	root.Set(MetricResolved, m.resolved)
	root.Set(MetricBreakers, states)
	return m
}
