package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// catalogChanges returns the changes that the model test draws from, by name. Each is of
// one queue and one customer.
func (w *world) catalogChanges(t *rapid.T, first *catalog.Catalog) map[string]func(*catalog.Catalog) {
	queue := rapid.SampledFrom([]string{"urgent", "bulk", "gangs"}).Draw(t, "queue")
	customer := rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "customer")
	number := rapid.IntRange(0, 3).Draw(t, "number")
	ofQueue := func(change func(*catalog.Queue)) func(*catalog.Catalog) {
		return func(c *catalog.Catalog) { w.changeQueue(queue, change)(c) }
	}
	ofCustomer := func(change func(*catalog.Customer)) func(*catalog.Catalog) {
		return func(c *catalog.Catalog) {
			changed := first.Customers[customer]
			change(&changed)
			c.Customers[customer] = changed
		}
	}
	return map[string]func(*catalog.Catalog){
		"remove queue":    removeQueue(queue),
		"add queue":       ofQueue(func(*catalog.Queue) {}),
		"lose service":    ofQueue(withoutService),
		"gain service":    ofQueue(withService),
		"attempts":        ofQueue(func(q *catalog.Queue) { q.Attempts = number }),
		"priority":        ofQueue(func(q *catalog.Queue) { q.Priority = number }),
		"objective":       ofQueue(func(q *catalog.Queue) { q.Objective = time.Duration(number) * time.Second }),
		"open":            ofQueue(func(q *catalog.Queue) { q.Open = number%2 == 0 }),
		"pool":            ofQueue(func(q *catalog.Queue) { q.Pool = []string{"p", "empty"}[number%2] }),
		"remove customer": func(c *catalog.Catalog) { delete(c.Customers, customer) },
		"add customer":    ofCustomer(func(*catalog.Customer) {}),
		"cap":             ofCustomer(func(c *catalog.Customer) { c.Cap = resource.Vector{MilliCores: int64(number) * 40_000} }),
		"weight":          ofCustomer(func(c *catalog.Customer) { c.Weight = float64(number) }),
	}
}

// TestWorkSurvivesChangesOfConfiguration draws changes of the configuration, also several
// within a second, silences of the eligibility service, crashes of endpoints and changes of
// the holder beside work of all kinds. While they last, no start may break a guarantee or be
// refused again and again. After they end, all jobs must end.
func TestWorkSurvivesChangesOfConfiguration(t *testing.T) {
	const (
		changesUntil = 12 * time.Second
		endsWithin   = 50 * time.Second
		// maxRounds bounds the refused starts of a task for each configuration that
		// is published and each new holder: the pause doubles while the holder has
		// not read it.
		maxRounds = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), faults{})
		first := w.catalog
		first.Pools["empty"] = catalog.Pool{Name: "empty"}
		if rapid.Bool().Draw(t, "faults") {
			w.faults = faults{delayed: 0.02, unanswered: 0.02, taskFailure: 0.1, lostAppends: 0.03}
		}
		addEndpoints(w)
		w.beginTerm()
		for n := range rapid.IntRange(1, 16).Draw(t, "jobs") {
			id := workload.ID(fmt.Sprintf("%c%015x", "abc"[n%3], n))
			w.after(drawTime(t, "submitted", changesUntil), func() {
				w.submit(id, []string{"c1", "c2"}[n/3%2], w.randomSpec(id[0]))
			})
		}
		rounds := 1
		names := slices.Sorted(maps.Keys(w.catalogChanges(t, first)))
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			change := w.catalogChanges(t, first)[rapid.SampledFrom(names).Draw(t, "change")]
			w.after(drawTime(t, "published", changesUntil), func() { w.publish(change) })
			rounds++
		}
		for range rapid.IntRange(0, 3).Draw(t, "holders") {
			w.after(drawTime(t, "replaced", changesUntil), w.replaceHolder)
			rounds++
		}
		for range rapid.IntRange(0, 2).Draw(t, "silences") {
			length := drawTime(t, "silent for", 3*time.Second)
			w.after(drawTime(t, "silent", changesUntil), func() { w.serviceSilentUntil = w.now + length })
		}
		for range rapid.IntRange(0, 2).Draw(t, "crashes") {
			w.after(drawTime(t, "crash", changesUntil), func() {
				if e := w.endpoints["e03"]; e.up {
					w.crash(e, w.between(time.Millisecond, 3*time.Second))
				}
			})
		}
		w.after(changesUntil+time.Second, func() {
			w.faults = faults{}
			w.publish(func(c *catalog.Catalog) {
				c.Queues, c.Customers = slices.Clone(first.Queues), maps.Clone(first.Customers)
			})
		})
		w.run(changesUntil + endsWithin)
		w.requireAllEnded()
		w.requireFailuresHaveCauses()
		for task, n := range w.refusedByTask {
			if n > maxRounds*(rounds+1) {
				t.Errorf("%d starts of %s were refused for want of a permit, at most %d are expected", n, task, maxRounds*(rounds+1))
			}
		}
	})
}

// drawTime draws a time up to a limit, in steps that let several events fall together.
func drawTime(t *rapid.T, label string, limit time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	return time.Duration(rapid.IntRange(0, int(limit/step)).Draw(t, label)) * step
}

// requireFailuresHaveCauses requires that a job that is shown as failed has a task that
// failed as often as its queue ever allowed at the least.
func (w *world) requireFailuresHaveCauses() {
	for id, j := range w.jobs {
		if state, _ := w.current().core.Status(id, j.customer); state != workload.StateFailed {
			continue
		}
		most := 0
		for _, n := range j.failedEnds {
			most = max(most, n)
		}
		if fewest := w.fewestAttempts[w.queueOf(id)]; most < fewest || most == 0 {
			w.violation("LOST", "job %s is shown as failed after %d failures of a task, %d are allowed", id, most, fewest)
		}
	}
}
