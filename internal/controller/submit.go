package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// maxOpenJobs bounds the jobs that are not done, about 2 KB each.
	maxOpenJobs = 20000
	// maxExcessJobs bounds the open jobs that a customer submitted beyond its
	// rate; they are served last, so more of them would only grow old.
	maxExcessJobs = 200
	// maxAdmissions bounds the bytes of admissions that are appended together:
	// half of what the users' platform takes in one call, as the progress of
	// other jobs goes with them.
	maxAdmissions = 1 << 20
	// admissionsRetry is after what time a caller may come back whose job did
	// not fit: the next append begins within milliseconds, unless the log is
	// slow.
	admissionsRetry = 500 * time.Millisecond
	// excessRetry is after what time a customer beyond its rate may come back.
	excessRetry = 2 * time.Second
)

// Submission asks to accept a job.
type Submission struct {
	ID       workload.ID
	Queue    string
	Customer string
	Accepted time.Time
	Spec     workload.Spec
}

// SubmitResult is the answer to a submission; without a problem the job is
// accepted and stored.
type SubmitResult struct {
	Problem *problem.Problem
}

// Submit accepts a job. tell is called once: at once for a refusal or a job
// that is known, else when the job stands in the log. It is not called if the
// term ends before.
func (c *Core) Submit(now clock.Instant, s Submission, tell func(SubmitResult)) {
	if e := c.jobs[s.ID]; e != nil {
		c.submitAgain(e, s, tell)
		return
	}
	if p := c.admit(now, s); p != nil {
		tell(SubmitResult{Problem: p})
		return
	}
	job := workload.NewJob(s.ID, s.Queue, s.Customer, s.Accepted, s.Spec)
	job.Excess = !c.withinRate(now, s.Customer)
	e := &jobEntry{job: job, waiters: []func(SubmitResult){tell}}
	c.batch.admit(e)
	c.log.Info("job taken in", "job", s.ID, "queue", s.Queue, "customer", s.Customer, "steps", len(s.Spec.Steps),
		"beyond_rate", job.Excess, "config", c.catalog.Version)
	c.addJob(now, e)
	if due, ok := job.NextDue(); ok {
		c.log.Info("occurrence is due later", "job", s.ID, "due", due, "in", due.Sub(now.Wall))
	}
}

// submitAgain answers a submission whose id is known.
func (c *Core) submitAgain(e *jobEntry, s Submission, tell func(SubmitResult)) {
	switch {
	case e.job.Customer != s.Customer:
		tell(SubmitResult{Problem: problem.Refuse(problem.TicketConflict, "choose another id",
			"job %s belongs to another customer", s.ID)})
	case e.admitted:
		tell(SubmitResult{})
	default:
		e.waiters = append(e.waiters, tell)
	}
}

// admit refuses what can't be taken in.
func (c *Core) admit(now clock.Instant, s Submission) *problem.Problem {
	if c.catalog.Queue(s.Queue) == nil {
		return problem.Refuse(problem.UnknownQueue, "check the address", "queue %q is not configured", s.Queue)
	}
	if open := len(c.jobs) - len(c.ended); open >= maxOpenJobs {
		return problem.Refuse(problem.QueueFull, "try again later", "%d jobs are open", open).WithRetryAfter(excessRetry)
	}
	if wait, refused := c.backlog.refuses(s.Customer); refused {
		return problem.Refuse(problem.QueueFull, "try again later",
			"%d steps of jobs wait to begin, about %.0f a second do", c.backlog.waiting, c.backlog.rate).WithRetryAfter(min(wait, longestWait))
	}
	if size := c.batch.size + admissionSize(&s.Spec); c.batch.size > 0 && size > maxAdmissions {
		return problem.Refuse(problem.QueueFull, "try again later, or send smaller jobs",
			"the jobs that wait to be stored would take %d bytes, at most %d are taken at once", size, maxAdmissions).WithRetryAfter(admissionsRetry)
	}
	if b := c.rates[s.Customer]; b != nil && b.empty(now, c.rateOf(s.Customer), c.bounds.RateWindow) && c.excessJobs(s.Customer) >= maxExcessJobs {
		return problem.Refuse(problem.QueueFull, "send fewer jobs a second",
			"customer %q is beyond its rate and has %d jobs waiting for it", s.Customer, maxExcessJobs).WithRetryAfter(excessRetry)
	}
	return nil
}

func (c *Core) excessJobs(customer string) int {
	n := 0
	for _, e := range c.jobs {
		if e.job.Excess && e.job.Customer == customer && !e.job.Final() {
			n++
		}
	}
	return n
}

// rateOf is how many jobs a second a customer may submit; 0 means any number.
func (c *Core) rateOf(customer string) float64 { return c.catalog.Customers[customer].Weight }

// withinRate takes one job from a customer's rate and reports whether it was
// within.
func (c *Core) withinRate(now clock.Instant, customer string) bool {
	rate := c.rateOf(customer)
	if rate <= 0 {
		return true
	}
	b := c.rates[customer]
	if b == nil {
		b = &bucket{level: rate * c.bounds.RateWindow.Seconds(), at: now.Steady}
		c.rates[customer] = b
	}
	return b.take(now, rate, c.bounds.RateWindow)
}

// bucket is a token bucket that holds a window's worth of jobs.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) fill(now clock.Instant, rate float64, window time.Duration) {
	passed := now.Steady - b.at
	b.at = now.Steady
	b.level = min(b.level+rate*passed.Seconds(), rate*window.Seconds())
}

func (b *bucket) take(now clock.Instant, rate float64, window time.Duration) bool {
	b.fill(now, rate, window)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *bucket) empty(now clock.Instant, rate float64, window time.Duration) bool {
	if rate <= 0 {
		return false
	}
	b.fill(now, rate, window)
	return b.level < 1
}

// Status returns the state of a job as it stands in the log; ok is false if
// the customer has no such job.
func (c *Core) Status(id workload.ID, customer string) (state workload.State, ok bool) {
	e := c.jobs[id]
	if e == nil || e.job.Customer != customer {
		return "", false
	}
	if e.job.Final() && !e.ended {
		return workload.StateRunning, true
	}
	return e.job.State(), true
}

// Cancel ends a job. tell is called with whether there is such a job, once the
// cancellation stands in the log.
func (c *Core) Cancel(now clock.Instant, id workload.ID, customer string, tell func(found bool)) {
	e := c.jobs[id]
	if e == nil || e.job.Customer != customer {
		tell(false)
		return
	}
	if e.ended {
		tell(true)
		return
	}
	if e.job.Cancel(now.Wall) {
		c.log.Info("job cancelled", "job", id, "state", e.job.State())
		c.batch.touch(e)
		c.closeJob(e)
	}
	c.batch.replies = append(c.batch.replies, func() { tell(true) })
}

// closeJob drops the steps of an ended job, so that nothing more is started.
func (c *Core) closeJob(e *jobEntry) {
	delete(c.recurring, e.job.ID)
	for _, o := range e.job.Live() {
		c.closeSteps(e.job, o)
	}
}

// Waiting counts the jobs of a queue of which no task has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, e := range c.jobs {
		if e.job.Queue == queue && e.admitted && e.job.State() == workload.StateQueued {
			n++
		}
	}
	return n
}

// priorityOf returns the priority of a queue; one that is not configured any
// more goes last.
func priorityOf(q *catalog.Queue) int {
	const last = 1000
	if q == nil {
		return last
	}
	return q.Priority
}
