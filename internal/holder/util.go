package holder

import (
	"expvar"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// milliseconds converts a number of milliseconds.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// expvarInt returns a variable with the given value, for a group of metrics.
func expvarInt(n int) expvar.Var {
	v := new(expvar.Int)
	v.Set(int64(n))
	return v
}

// inheritUnit creates the unit of a request that an earlier term started. It returns nil
// for a job's task: the log already holds the outcome of one that has no unit. The caller
// holds the term's lock.
func (t *Term) inheritUnit(key string, spec endpoint.TaskSpec) *unit {
	if spec.Ticket == "" {
		return nil
	}
	u := &unit{key: key, workID: key, spec: spec, enqueued: t.now(), request: newRequestState(), class: placement.ClassBatch}
	u.request.digest = digestOf(spec.Team, spec.Queue, spec.Command, spec.Input)
	u.request.digestKnown = true
	u.applyQueue(t.queuePolicy(spec.Queue))
	t.units[key] = u
	return u
}
