// Package controller runs the work of a cell during one term: it takes jobs
// in, starts their tasks on endpoints, follows them to their end and keeps
// what must outlive the term in the log.
//
// Core holds all decisions and state. It performs no I/O, starts no goroutine
// and reads no clock: events go in by its methods, orders and records come
// out. Controller connects it to the log, the endpoints and the clock.
package controller

import (
	"log/slog"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Params are figures that the deployment gives.
type Params struct {
	// Lease is for how long endpoints run tasks without a renewal.
	Lease time.Duration
	// StopGrace is the longest that a stop takes.
	StopGrace time.Duration
	// GangWait is how long a gang's members wait for each other.
	GangWait time.Duration
	// StateKept is for how long the state of an ended job is told.
	StateKept time.Duration
	// TermGrace is for how long a holder may give orders after its last proof
	// that its term is current.
	TermGrace time.Duration
	// FarFactor is how much longer a task takes away from its data.
	FarFactor float64
	// RateWindow is the span over which a customer's rate of jobs is judged.
	RateWindow time.Duration
}

// Core is the state of a term. It is not safe for concurrent use.
type Core struct {
	bounds  Params
	log     *slog.Logger
	catalog *catalog.Catalog
	fleet   *fleet.Fleet
	// began is when the log refused all earlier terms.
	began time.Duration

	jobs map[workload.ID]*jobEntry
	// steps are the ready steps that are not done.
	steps map[*workload.StepRun]*stepEntry
	// recurring are the jobs with an occurrence that is not open yet.
	recurring map[workload.ID]*jobEntry
	// ended are the ended jobs in order of their end.
	ended []*jobEntry
	rates map[string]*bucket
	// goodShare is the share of endpoints that may run a queue's steps.
	goodShare map[string]float64
	// busyFrom and idleFrom are the endpoints, by their place, whose holds are
	// handed out first, of those with runs and those without.
	busyFrom int
	idleFrom int
	// control is what the core remembers of each endpoint beside its account.
	control map[*fleet.Endpoint]*endpointControl

	batch *Batch
	// stops are the orders to stop runs, orders all others.
	stops  []Order
	orders []Order
	// planDue is set when a plan may find something to do.
	planDue bool
	stats   Stats

	urgent  urgentLoad
	backlog backlog
	flow    flow
	// silentBefore gives the incarnations of the endpoints that an earlier term
	// has recorded as silent.
	silentBefore map[string]int64
	// wanted are the endpoints on which blocked gangs waited for room at the
	// last plan.
	wanted map[*fleet.Endpoint]bool
	// lanes is how many instances questions can be put through, asking and
	// askingUrgent how many questions are under way for other and urgent work.
	lanes        int
	asking       int
	askingUrgent int
}

// Stats counts what a core has done.
type Stats struct {
	Plans     int64
	Starts    int64
	Questions int64
	Holds     int64
	Stops     int64
	Refused   int64
	Doubtful  int64
	Lapsed    int64
	Evicted   int64
	Paces     int64
	// Waiting and Running count tasks at present, Open jobs that are not done.
	Waiting int
	Running int
	Open    int
}

// jobEntry is a job and what the core knows beside it.
type jobEntry struct {
	job *workload.Job
	// admitted is set once the job's admission stands in the log.
	admitted bool
	// ended is set once the job's final state stands in the log.
	ended bool
	// waiters are told when the admission stands in the log.
	waiters []func(SubmitResult)
}

// stepEntry is a ready step and what the core knows beside it.
type stepEntry struct {
	step  *workload.StepRun
	entry *jobEntry
	since time.Duration
	// latestStart is when the step has to start for its job to be in time.
	latestStart time.Duration
	access      *scheduler.Eligibility
	asked       int
	askAfter    time.Duration
	// begun is set once a task of the step was placed in this term.
	begun bool
	// waiting caches the tasks that wait; stale says that it must be made anew.
	waiting []int
	stale   bool
	// failedOn remembers where tasks have failed.
	failedOn map[int]map[string]bool
}

// NewCore returns a core without jobs and endpoints. The log has refused writes of
// earlier terms since before began.
func NewCore(bounds Params, current *catalog.Catalog, began time.Duration, logger *slog.Logger) *Core {
	return &Core{
		bounds:    bounds,
		began:     began,
		log:       logger,
		catalog:   current,
		fleet:     fleet.New(),
		jobs:      make(map[workload.ID]*jobEntry),
		steps:     make(map[*workload.StepRun]*stepEntry),
		recurring: make(map[workload.ID]*jobEntry),
		rates:     make(map[string]*bucket),
		goodShare: make(map[string]float64),
		control:   make(map[*fleet.Endpoint]*endpointControl),

		silentBefore: make(map[string]int64),

		batch: newBatch(),
		lanes: 1,
		flow:  newFlow(),
	}
}

// SetCatalog brings a newer configuration into force.
func (c *Core) SetCatalog(next *catalog.Catalog) {
	if next.Version > c.catalog.Version {
		c.catalog = next
		c.planDue = true
	}
}

// SetEligibilityInstances says how many instances questions can be put through.
func (c *Core) SetEligibilityInstances(n int) { c.lanes = n }

// Version returns the version of the configuration in force.
func (c *Core) Version() int64 { return c.catalog.Version }

// TakeOrders returns the orders that are to be carried out now. Stops go first:
// a gang's members wait for them, and cancelled work goes on until they arrive.
func (c *Core) TakeOrders() []Order {
	orders := slices.Concat(c.stops, c.orders)
	c.stops, c.orders = nil, nil
	return orders
}

// emit hands out an order.
func (c *Core) emit(o Order) {
	if _, stop := o.(*StopOrder); stop {
		c.stops = append(c.stops, o)
		return
	}
	c.orders = append(c.orders, o)
}

// Stats returns the counts.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Waiting, s.Running, s.Open = 0, 0, len(c.jobs)-len(c.ended)
	for _, e := range c.steps {
		s.Waiting += len(c.waitingTasks(e))
	}
	for _, e := range c.fleet.Endpoints() {
		s.Running += len(e.Runs())
	}
	return s
}

// addJob takes a job into the books and opens what is due.
func (c *Core) addJob(now clock.Instant, e *jobEntry) {
	c.jobs[e.job.ID] = e
	if e.job.Final() {
		c.ended = append(c.ended, e)
		return
	}
	c.openDue(now, e)
	for _, o := range e.job.Live() {
		c.openSteps(now, e, o)
	}
}

// openDue opens the occurrences of a job that are due.
func (c *Core) openDue(now clock.Instant, e *jobEntry) {
	for {
		due, ok := e.job.NextDue()
		if !ok {
			delete(c.recurring, e.job.ID)
			return
		}
		if due.After(now.Wall) {
			c.recurring[e.job.ID] = e
			return
		}
		o := e.job.OpenNext()
		c.batch.touch(e)
		c.openSteps(now, e, o)
	}
}

// openSteps takes the ready steps of an occurrence into the books.
func (c *Core) openSteps(now clock.Instant, e *jobEntry, o *workload.Occurrence) {
	for _, s := range o.Steps {
		if s.Done() || !s.Ready() || c.steps[s] != nil {
			continue
		}
		c.steps[s] = c.newStepEntry(now, e, s)
		c.planDue = true
	}
}

// adviceEndpoints is how many endpoints the objective of a job counts for each
// question; the users' rules name the figure.
const adviceEndpoints = 30

func (c *Core) newStepEntry(now clock.Instant, e *jobEntry, s *workload.StepRun) *stepEntry {
	entry := &stepEntry{step: s, entry: e, since: now.Steady, stale: true}
	extra := time.Duration(0)
	q := c.catalog.Queue(e.job.Queue)
	if q == nil {
		entry.latestStart = now.Steady
		return entry
	}
	if q.Eligibility != nil {
		extra = q.Eligibility.Cost(adviceEndpoints)
		entry.access = &scheduler.Eligibility{
			Eligible: make(map[*fleet.Endpoint]bool),
			Permits:  make(map[*fleet.Endpoint]scheduler.Permit),
		}
	}
	begun := e.job.Accepted
	if r := e.job.Spec.Recurrence; r != nil {
		begun = r.Due(s.Occurrence.Index)
	}
	objective := time.Duration(q.Stretch*float64(e.job.Spec.LongestChain(extra))) + q.Objective
	left := begun.Add(objective).Sub(now.Wall) - e.job.Spec.ChainFrom(s.Index, extra)
	entry.latestStart = now.Steady + left
	return entry
}

// closeSteps drops the steps of a job that are done, and all if it has ended.
func (c *Core) closeSteps(j *workload.Job, o *workload.Occurrence) {
	for _, s := range o.Steps {
		if s.Done() || j.Final() {
			delete(c.steps, s)
		}
	}
}
