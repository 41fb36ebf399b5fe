package holder

import (
	"expvar"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// milliseconds converts a wire value.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// countOf wraps a number for a metric group.
func countOf(n int) expvar.Var {
	v := new(expvar.Int)
	v.Set(int64(n))
	return v
}

// inheritUnit makes the unit of a request that an earlier term started; a job
// task that has no unit has its outcome already and gives nil. The caller
// holds the term's lock.
func (t *Term) inheritUnit(key string, spec endpoint.TaskSpec) *unit {
	if spec.Ticket == "" {
		return nil
	}
	u := &unit{key: key, work: key, spec: spec, enqueued: t.now(), request: newRequest(), class: placement.ClassBatch}
	u.request.digest = digestOf(spec.Team, spec.Queue, spec.Command, spec.Input)
	u.request.known = true
	u.applyQueue(t.queue(spec.Queue))
	t.units[key] = u
	return u
}
