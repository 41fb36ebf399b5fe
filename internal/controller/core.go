// Package controller schedules the work of a cell during one term: it accepts
// jobs, starts their tasks on endpoints, tracks the runs to their end and logs
// what must outlive the term.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. Its holder is the daemon that
// schedules the cell at present. A term is one period of holding the cell; its
// epoch is the fencing token by which the log and the endpoints refuse earlier
// terms. A run is one attempt to execute a task on an endpoint. An endpoint runs
// tasks only while it has a lease, which the holder extends. A hold is an order
// that extends the lease and requests a report of the endpoint's runs. Urgent
// work is the work of queues with priority 0.
//
// Core holds all decisions and state. It performs no I/O, starts no goroutine
// and reads no clock: events are passed to its methods, and orders and records
// come out. Controller connects it to the log, the endpoints and the clock.
package controller

import (
	"log/slog"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/estimate"
	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Params holds the scheduling parameters set by the deployment.
type Params struct {
	// Lease is how long endpoints run tasks without a renewal.
	Lease time.Duration
	// LeaseMax is the longest lease that endpoints grant. An order for an earlier
	// incarnation of an endpoint may give the next one that much, as its deadline is
	// on another clock.
	LeaseMax time.Duration
	// StopGrace is the longest time that a stop takes.
	StopGrace time.Duration
	// GangWait is how long the members of a gang wait for each other.
	GangWait time.Duration
	// StateKept is how long the state of an ended job can be queried.
	StateKept time.Duration
	// TermGrace is how long after the last proof that its term is current a
	// holder may send orders.
	TermGrace time.Duration
	// FarFactor is the factor by which a task takes longer away from its data or
	// from the rack of its gang.
	FarFactor float64
	// RateWindow is the window over which a customer's job rate is measured.
	RateWindow time.Duration
	Features   Features
}

// Features are the parts of the scheduling that the deployment has turned on.
type Features struct {
	// Evacuation starts nothing in availability zones that the operator empties, and takes
	// endpoints that say that they are cold for slow.
	Evacuation bool
	// GangRoom lets single tasks wait for gangs of a better priority, Preemption stops runs
	// of work that can wait, and Shares divides contended capacity among customers.
	GangRoom   bool
	Preemption bool
	Shares     bool
	// Admission refuses jobs that can't end in a time that is of use, and Estimates
	// corrects stated run times from those seen.
	Admission bool
	Estimates bool
}

// Core is the scheduling state of one term. It is not safe for concurrent use.
type Core struct {
	params  Params
	log     *slog.Logger
	catalog *catalog.Catalog
	fleet   *fleet.Fleet
	// fencedAt is when the log started to refuse all earlier terms.
	fencedAt time.Duration

	jobs map[workload.ID]*jobEntry
	// steps holds the ready steps that are not done.
	steps map[*workload.StepRun]*stepEntry
	// recurring holds the jobs with an occurrence that is not open yet.
	recurring map[workload.ID]*jobEntry
	// ended holds the ended jobs, ordered by their end.
	ended []*jobEntry
	rates map[string]*tokenBucket
	// eligibleShare is the estimated share of endpoints that may run a queue's
	// steps, by queue.
	eligibleShare map[string]float64
	// busyCursor and idleCursor are the round-robin positions in the list of
	// endpoints where the next holds start, for endpoints with runs and for
	// those without.
	busyCursor int
	idleCursor int
	// endpointStates holds the scheduling state of each endpoint that
	// fleet.Endpoint does not have.
	endpointStates map[*fleet.Endpoint]*endpointState

	// evacuated holds the availability zones that the operator empties.
	evacuated evacuation.Zones

	batch *Batch
	// stops holds the pending stop orders, orders all others.
	stops  []Order
	orders []Order
	// planDue is set when a new plan might find something to do.
	planDue bool
	// plannedAt is when the last plan was made, and blocked is set if it left work
	// for which there was no capacity.
	plannedAt time.Duration
	blocked   bool
	// lastTurn is scheduler.Plan.LastTurn of the last plan.
	lastTurn *scheduler.Demand
	stats    Stats

	// urgent holds the loads of urgent work by class.
	urgent map[urgentClass]*urgentLoad
	// lateStarts are the starts that may be carried out late. deferred is set if the last
	// plan left out tasks because of them.
	lateStarts lateStarts
	deferred   bool
	backlog    backlog
	// shares is nil before the first plan that divides capacity among customers.
	shares *shares
	// preemptions bounds the work that preemptions throw away.
	preemptions preemptionBudget
	flow        flowControl
	door        door
	// runTimes holds what was learned of run times, nil if they are taken as stated.
	runTimes         *estimate.Model
	runTimesLoggedAt time.Duration
	// inheritedSilences holds the records of the endpoints that an earlier term
	// found silent, by endpoint id.
	inheritedSilences map[string]silentRecord
	// wanted holds the endpoints on which blocked gangs waited for capacity in
	// the last plan.
	wanted map[*fleet.Endpoint]bool
	// eligibilityInstances is the number of instances through which questions
	// can be asked. The other two count the questions in flight for non-urgent
	// and for urgent work.
	eligibilityInstances    int
	questionsInFlight       int
	urgentQuestionsInFlight int
}

// Stats holds the counters of a core.
type Stats struct {
	// Plans counts the plans made, and Starts, Questions, Holds, Stops and Paces
	// the orders emitted. Refused counts the starts that endpoints refused,
	// Doubtful those without an answer, Lapsed the runs counted as ended because
	// a lease has lapsed, Evicted the evicted runs and Preempted those stopped for
	// more urgent work.
	Plans     int64
	Starts    int64
	Questions int64
	Holds     int64
	Stops     int64
	Refused   int64
	Doubtful  int64
	Lapsed    int64
	Evicted   int64
	Preempted int64
	Paces     int64
	// Waiting and Running are the current numbers of tasks, Open is the current
	// number of jobs that have not ended. Evacuated is that of the availability zones
	// that are being emptied, and InEvacuated that of the tasks that run there.
	Waiting     int
	Running     int
	Open        int
	Evacuated   int
	InEvacuated int
}

// jobEntry is a job with its scheduling state.
type jobEntry struct {
	job *workload.Job
	// admitted is set once the job's admission is in the log.
	admitted bool
	// ended is set once the job's final state is in the log.
	ended bool
	// waiters are called once the admission is in the log.
	waiters []func(SubmitResult)
	// chains caches the chains of the job's steps for chainsQuestionTime, with the run
	// times that were expected at chainsAt.
	chains             workload.Chains
	chainsQuestionTime time.Duration
	chainsAt           time.Duration
}

// stepEntry is a ready step with its scheduling state.
type stepEntry struct {
	step     *workload.StepRun
	jobEntry *jobEntry
	// since is when this term found the step ready.
	since time.Duration
	// latestStart is when the step has to start for its job to meet its
	// objective.
	latestStart time.Duration
	// eligibility is what is known of the endpoints that may run the step. Whether
	// that matters depends on the configuration in force; see eligibilityOf.
	eligibility *scheduler.Eligibility
	// askSequence numbers the step's questions; those that are asked at once share a
	// number, and only the answers to the last ones count. unanswered counts the last
	// ones without an answer. No question is asked before askAfter.
	askSequence int
	unanswered  int
	askAfter    time.Duration
	// refusals counts the rounds of refused starts since a start was confirmed,
	// refusedAt is when the last one was refused. No task is placed before
	// placeAfter.
	refusals   int
	refusedAt  time.Duration
	placeAfter time.Duration
	// begun is set once a run of the step is known in this term to have begun.
	begun bool
	// impossible is set while the registered endpoints could not run the step, awaitsZone
	// if they could but for the availability zones that are being emptied.
	impossible bool
	awaitsZone bool
	// waiting caches the indexes of the waiting tasks. waitingStale is set when
	// it must be recomputed.
	waiting      []int
	waitingStale bool
	// atWork is the number of tasks that occupy an endpoint, as of the last time that
	// waiting was computed. waitingSince is since when plans have found waiting tasks, 0 if
	// the last one found none, and lastEnd when a run last ended.
	atWork       int
	waitingSince time.Duration
	lastEnd      time.Duration
	// yielding is set once the step has waited for gangs of a better priority.
	yielding bool
	// preempted counts how often each task was stopped for more urgent work.
	preempted map[int]int
	// failedOn records the endpoints on which each task has failed.
	failedOn map[int]map[string]bool
}

// NewCore returns a core without jobs and endpoints. The log refuses writes of
// earlier terms since fencedAt or before.
func NewCore(params Params, current *catalog.Catalog, fencedAt time.Duration, logger *slog.Logger) *Core {
	c := &Core{
		params:         params,
		fencedAt:       fencedAt,
		log:            logger,
		catalog:        current,
		fleet:          fleet.New(),
		jobs:           make(map[workload.ID]*jobEntry),
		steps:          make(map[*workload.StepRun]*stepEntry),
		recurring:      make(map[workload.ID]*jobEntry),
		rates:          make(map[string]*tokenBucket),
		eligibleShare:  make(map[string]float64),
		endpointStates: make(map[*fleet.Endpoint]*endpointState),
		urgent:         make(map[urgentClass]*urgentLoad),
		lateStarts:     make(lateStarts),

		inheritedSilences: make(map[string]silentRecord),

		batch:                newBatch(),
		eligibilityInstances: 1,
		flow:                 newFlowControl(),
	}
	if params.Features.Estimates {
		c.runTimes = estimate.NewModel()
	}
	return c
}

// SetEligibilityInstances sets through how many instances eligibility questions
// can be asked.
func (c *Core) SetEligibilityInstances(n int) { c.eligibilityInstances = n }

// TakeOrders returns and clears the pending orders. Stops come first: the
// members of a gang wait for them, and cancelled work continues until they
// arrive.
func (c *Core) TakeOrders() []Order {
	orders := slices.Concat(c.stops, c.orders)
	c.stops, c.orders = nil, nil
	return orders
}

// emit adds an order to the pending ones.
func (c *Core) emit(o Order) {
	if _, stop := o.(*StopOrder); stop {
		c.stops = append(c.stops, o)
		return
	}
	c.orders = append(c.orders, o)
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Waiting, s.Running, s.Open = 0, 0, len(c.jobs)-len(c.ended)
	s.Evacuated, s.InEvacuated = len(c.evacuated), 0
	for _, e := range c.steps {
		s.Waiting += len(c.waitingTasks(e))
	}
	for _, e := range c.fleet.Endpoints() {
		s.Running += len(e.Runs())
		if c.isEvacuated(e) {
			s.InEvacuated += len(e.Runs())
		}
	}
	return s
}

// addJob adds a job to the core, opens its due occurrences and adds its ready
// steps.
func (c *Core) addJob(now clock.Instant, e *jobEntry) {
	c.jobs[e.job.ID] = e
	if e.job.Final() {
		c.ended = append(c.ended, e)
		return
	}
	c.openDueOccurrences(now, e)
	for _, o := range e.job.Live() {
		c.addReadySteps(now, e, o)
	}
}

// openDueOccurrences opens the occurrences of a job that are due, as far as it may
// have more of them at a time.
func (c *Core) openDueOccurrences(now clock.Instant, e *jobEntry) {
	for {
		due, ok := e.job.NextDue()
		if !ok {
			delete(c.recurring, e.job.ID)
			return
		}
		if due.After(now.Wall) || !e.job.MayOpen() {
			c.recurring[e.job.ID] = e
			return
		}
		o := e.job.OpenNext()
		c.batch.addProgress(e)
		c.addReadySteps(now, e, o)
	}
}

// addReadySteps adds the ready steps of an occurrence to those to be scheduled.
func (c *Core) addReadySteps(now clock.Instant, e *jobEntry, o *workload.Occurrence) {
	for _, s := range o.Steps {
		if s.Done() || !s.Ready() || c.steps[s] != nil {
			continue
		}
		entry := c.newStepEntry(now, e, s)
		c.steps[s] = entry
		c.planDue = true
		c.failExhausted(now, entry)
		if e.job.Final() {
			return
		}
	}
}

func (c *Core) newStepEntry(now clock.Instant, e *jobEntry, s *workload.StepRun) *stepEntry {
	entry := &stepEntry{step: s, jobEntry: e, since: now.Steady, latestStart: now.Steady, waitingStale: true, eligibility: scheduler.NewEligibility()}
	c.setLatestStart(now, entry)
	return entry
}

// removeSteps removes the steps of an occurrence that are done, or all of them
// if the job has ended.
func (c *Core) removeSteps(j *workload.Job, o *workload.Occurrence) {
	for _, s := range o.Steps {
		if s.Done() || j.Final() {
			delete(c.steps, s)
		}
	}
}
