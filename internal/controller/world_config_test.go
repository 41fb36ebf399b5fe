package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// maxConfigDelay is how long a daemon takes at most to read a new configuration.
const maxConfigDelay = 300 * time.Millisecond

// publish publishes a copy of the newest configuration with a change. The running
// terms read it a little later.
func (w *world) publish(change func(*catalog.Catalog)) {
	next := &catalog.Catalog{
		Version:   w.catalog.Version + 3,
		Queues:    slices.Clone(w.catalog.Queues),
		Pools:     w.catalog.Pools,
		Customers: maps.Clone(w.catalog.Customers),
	}
	change(next)
	if err := next.Index(); err != nil {
		w.t.Fatal(err)
	}
	w.replaced, w.replacedAt = w.catalog, w.now
	w.catalog = next
	w.noteCatalog()
	for _, t := range w.terms {
		w.readCatalog(t, next)
	}
}

// noteCatalog records the queues and customers of the newest configuration.
func (w *world) noteCatalog() {
	for name, customer := range w.catalog.Customers {
		limit := customer.Cap.MilliCores
		if highest, known := w.highestCap[name]; known && (highest == 0 || limit != 0 && limit < highest) {
			limit = highest
		}
		w.highestCap[name] = limit
	}
	for i := range w.catalog.Queues {
		q := &w.catalog.Queues[i]
		w.lastQueues[q.Name] = q
		if w.everPools[q.Name] == nil {
			w.everPools[q.Name] = make(map[string]bool)
		}
		w.everPools[q.Name][q.Pool] = true
		most := q.Attempts
		if most == 0 {
			// Without a limit no number of failures is a violation.
			most = math.MaxInt
		}
		w.mostAttempts[q.Name] = max(w.mostAttempts[q.Name], most)
		if fewest := w.fewestAttempts[q.Name]; q.Attempts > 0 && (fewest == 0 || q.Attempts < fewest) {
			w.fewestAttempts[q.Name] = q.Attempts
		}
	}
}

// readCatalog lets a term read a configuration a little later.
func (w *world) readCatalog(t *simTerm, c *catalog.Catalog) {
	w.after(w.between(time.Millisecond, maxConfigDelay), func() {
		if t.dead {
			return
		}
		w.whenResumed(t, func() {
			t.core.SetCatalog(w.instant(), c)
			w.flush(t)
		})
	})
}

// catalogOfNewTerm returns the configuration with which a term begins. A new one may
// have been published while the term was being prepared.
func (w *world) catalogOfNewTerm() *catalog.Catalog {
	if w.replaced != nil && w.now-w.replacedAt < maxConfigDelay {
		return w.replaced
	}
	return w.catalog
}

// removeQueue returns a change that removes a queue.
func removeQueue(name string) func(*catalog.Catalog) {
	return func(c *catalog.Catalog) {
		c.Queues = slices.DeleteFunc(c.Queues, func(q catalog.Queue) bool { return q.Name == name })
	}
}

// changeQueue returns a change of a queue, which is added again as it was last if it
// is not configured.
func (w *world) changeQueue(name string, change func(*catalog.Queue)) func(*catalog.Catalog) {
	return func(c *catalog.Catalog) {
		i := slices.IndexFunc(c.Queues, func(q catalog.Queue) bool { return q.Name == name })
		if i < 0 {
			i = len(c.Queues)
			c.Queues = append(c.Queues, *w.lastQueues[name])
		}
		change(&c.Queues[i])
	}
}

// addQueue returns a change that adds a removed queue as it was last.
func (w *world) addQueue(name string) func(*catalog.Catalog) {
	return w.changeQueue(name, func(*catalog.Queue) {})
}

// simPermit identifies a permit that the eligibility service has given.
type simPermit struct {
	step        string
	endpoint    string
	incarnation int64
}

// permits reports whether an endpoint accepts a start with its permit, or without
// one.
func (w *world) permits(e *simEndpoint, o *StartOrder) bool {
	q := w.lastQueues[w.queueOf(o.Key.Task.Job)]
	if q.Eligibility == nil {
		return true
	}
	until := w.permitsUntil[simPermit{step: o.Key.Task.StepName(), endpoint: e.id, incarnation: e.incarnation}]
	return o.Permit != "" && w.now <= until
}

// submitSteps submits a job with steps of one task each, of which each depends on the
// one before.
func (w *world) submitSteps(id workload.ID, customer string, estimates ...time.Duration) {
	var spec workload.Spec
	for i, estimate := range estimates {
		s := workload.Step{Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: estimate}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	w.submit(id, customer, spec)
}
