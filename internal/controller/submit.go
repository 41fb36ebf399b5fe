package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

const (
	// maxOpenJobs bounds the jobs that have not ended. Each takes about 2 KB.
	// Customers with few of them may exceed it up to maxSharedJobs, as the others
	// may be jobs that never end.
	maxOpenJobs   = 20000
	maxSharedJobs = maxOpenJobs * 5 / 4
	// maxExcessJobs bounds the open jobs that a customer submitted beyond its
	// rate. They are served last, so that more of them would only wait longer.
	maxExcessJobs = 200
	// maxAdmissionBytes bounds the admissions in one append: half of what the
	// users' platform accepts in one call, because the progress of other jobs
	// is appended with them.
	maxAdmissionBytes = 1 << 20
	// admissionsRetry is the retry delay given to a caller whose job did not
	// fit into the batch. The next append starts within milliseconds, unless
	// the log is slow.
	admissionsRetry = 500 * time.Millisecond
	// excessRetry is the retry delay given to a customer beyond its rate.
	excessRetry = 2 * time.Second
)

// Submission is a request to accept a job.
type Submission struct {
	ID       workload.ID
	Queue    string
	Customer string
	Accepted time.Time
	Spec     workload.Spec
}

// SubmitResult is the answer to a submission. If Problem is nil, the job is
// accepted and stored.
type SubmitResult struct {
	Problem *problem.Problem
}

// Submit accepts a job. It calls reply once: immediately for a refusal or a job
// that is already stored, otherwise when the job is in the log. If the term
// ends before, reply is not called.
func (c *Core) Submit(now clock.Instant, s Submission, reply func(SubmitResult)) {
	if e := c.jobs[s.ID]; e != nil {
		c.resubmit(e, s, reply)
		return
	}
	if p := c.checkAdmission(now, s); p != nil {
		reply(SubmitResult{Problem: p})
		return
	}
	job := workload.NewJob(s.ID, s.Queue, s.Customer, s.Accepted, s.Spec)
	job.Excess = !c.withinRate(now, s.Customer)
	e := &jobEntry{job: job, waiters: []func(SubmitResult){reply}}
	c.batch.addAdmission(e)
	c.log.Info("job taken in", "job", s.ID, "queue", s.Queue, "customer", s.Customer, "steps", len(s.Spec.Steps),
		"beyond_rate", job.Excess, "config", c.catalog.Version)
	c.addJob(now, e)
	if due, ok := job.NextDue(); ok {
		c.log.Info("occurrence is due later", "job", s.ID, "due", due, "in", due.Sub(now.Wall))
	}
}

// resubmit answers a submission whose id is known.
func (c *Core) resubmit(e *jobEntry, s Submission, reply func(SubmitResult)) {
	switch {
	case !c.mayAccess(e.job, s.Customer):
		reply(SubmitResult{Problem: problem.Refuse(problem.TicketConflict, "choose another id",
			"job %s belongs to another customer", s.ID)})
	case e.admitted:
		reply(SubmitResult{})
	default:
		e.waiters = append(e.waiters, reply)
	}
}

// mayAccess reports whether a customer may see and cancel a job. An empty customer is a
// caller of a queue that is open to all. A queue may have been opened or closed since the
// job was accepted: a job of a queue that is open now is accessible to all, and so is one
// that was accepted without a customer.
func (c *Core) mayAccess(j *workload.Job, customer string) bool {
	if j.Customer == customer || j.Customer == "" {
		return true
	}
	q := c.catalog.Queue(j.Queue)
	return customer == "" && q != nil && q.Open
}

// checkAdmission returns the problem for which a job is refused, or nil.
func (c *Core) checkAdmission(now clock.Instant, s Submission) *problem.Problem {
	q := c.catalog.Queue(s.Queue)
	if q == nil {
		return problem.Refuse(problem.UnknownQueue, "check the address", "queue %q is not configured", s.Queue)
	}
	if p := c.checkCustomer(q, s.Customer); p != nil {
		return p
	}
	if open := len(c.jobs) - len(c.ended); open >= maxSharedJobs || open >= maxOpenJobs && !c.hasFewJobs(s.Customer, open) {
		return problem.Refuse(problem.QueueFull, "try again later", "%d jobs are open", open).WithRetryAfter(excessRetry)
	}
	if wait, refused := c.backlog.refuses(s.Customer); refused && !c.judgesWaits(now, q.Pool) {
		return problem.Refuse(problem.QueueFull, "try again later",
			"%d steps wait to start, about %.0f start a second", c.backlog.waiting, c.backlog.rate).WithRetryAfter(min(wait, maxExpectedWait))
	}
	if size := c.batch.admissionBytes + admissionSize(&s.Spec); c.batch.admissionBytes > 0 && size > maxAdmissionBytes {
		return problem.Refuse(problem.QueueFull, "try again later, or send smaller jobs",
			"the jobs waiting to be stored would need %d bytes, at most %d are stored at once", size, maxAdmissionBytes).WithRetryAfter(admissionsRetry)
	}
	if c.exceedsRate(now, s.Customer) && c.countExcessJobs(s.Customer) >= maxExcessJobs {
		return problem.Refuse(problem.QueueFull, "send fewer jobs a second",
			"customer %q exceeds its job rate and already has %d open jobs beyond it", s.Customer, maxExcessJobs).WithRetryAfter(excessRetry)
	}
	if c.params.Features.Admission {
		// Last, as an accepted job counts as waiting from then on.
		return c.checkUseful(now, q, s)
	}
	return nil
}

// checkCustomer returns the problem of a job whose customer may not use the queue, or nil.
// The daemon that admitted it may have had an older configuration.
func (c *Core) checkCustomer(q *catalog.Queue, customer string) *problem.Problem {
	const remedy = "use a key that is in force"
	if customer == "" {
		if q.Open {
			return nil
		}
		return problem.Refuse(problem.KeyRefused, remedy, "queue %q needs a key", q.Name)
	}
	if _, known := c.catalog.Customers[customer]; !known {
		return problem.Refuse(problem.KeyRefused, remedy, "customer %q is not configured", customer)
	}
	return nil
}

// hasFewJobs reports whether a customer has a small share of the open jobs.
func (c *Core) hasFewJobs(customer string, open int) bool {
	own, customers := 0, make(map[string]bool)
	for _, e := range c.jobs {
		if e.job.Final() {
			continue
		}
		customers[e.job.Customer] = true
		if e.job.Customer == customer {
			own++
		}
	}
	return own*len(customers) < smallSharePercent*open/percent
}

func (c *Core) countExcessJobs(customer string) int {
	n := 0
	for _, e := range c.jobs {
		if e.job.Excess && e.job.Customer == customer && !e.job.Final() {
			n++
		}
	}
	return n
}

// rateOf returns how many jobs a second a customer may submit; 0 means no
// limit.
func (c *Core) rateOf(customer string) float64 { return c.catalog.Customers[customer].Weight }

// withinRate takes one token from a customer's bucket and reports whether there
// was one.
func (c *Core) withinRate(now clock.Instant, customer string) bool {
	rate := c.rateOf(customer)
	if rate <= 0 {
		return true
	}
	b := c.rates[customer]
	if b == nil {
		b = &tokenBucket{tokens: rate * c.params.RateWindow.Seconds(), filledAt: now.Steady}
		c.rates[customer] = b
	}
	return b.take(now, rate, c.params.RateWindow)
}

// tokenBucket is a token bucket that holds at most the jobs of one rate window.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

func (b *tokenBucket) refill(now clock.Instant, rate float64, window time.Duration) {
	passed := now.Steady - b.filledAt
	b.filledAt = now.Steady
	b.tokens = min(b.tokens+rate*passed.Seconds(), rate*window.Seconds())
}

func (b *tokenBucket) take(now clock.Instant, rate float64, window time.Duration) bool {
	b.refill(now, rate, window)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *tokenBucket) empty(now clock.Instant, rate float64, window time.Duration) bool {
	if rate <= 0 {
		return false
	}
	b.refill(now, rate, window)
	return b.tokens < 1
}

// Status returns the state of a job as it is in the log; ok is false if the
// customer has no such job.
func (c *Core) Status(id workload.ID, customer string) (state workload.State, ok bool) {
	e := c.jobs[id]
	if e == nil || !c.mayAccess(e.job, customer) {
		return "", false
	}
	if e.job.Final() && !e.ended {
		return e.job.OpenState(), true
	}
	return e.job.State(), true
}

// Cancel cancels a job. It calls reply with whether there is such a job, once
// the cancellation is in the log.
func (c *Core) Cancel(now clock.Instant, id workload.ID, customer string, reply func(found bool)) {
	e := c.jobs[id]
	if e == nil || !c.mayAccess(e.job, customer) {
		reply(false)
		return
	}
	if e.ended {
		reply(true)
		return
	}
	if e.job.Cancel(now.Wall) {
		c.log.Info("job cancelled", "job", id, "state", e.job.State())
		c.batch.addProgress(e)
		c.removeJobSteps(e)
	}
	c.batch.replies = append(c.batch.replies, func() { reply(true) })
}

// removeJobSteps removes the steps of an ended job, so that no more of its
// tasks start.
func (c *Core) removeJobSteps(e *jobEntry) {
	delete(c.recurring, e.job.ID)
	for _, o := range e.job.Live() {
		c.removeSteps(e.job, o)
	}
}

// Waiting returns the number of stored jobs of a queue of which no task is known
// to have begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, e := range c.jobs {
		if e.job.Queue == queue && e.admitted && e.job.Waiting() {
			n++
		}
	}
	return n
}
