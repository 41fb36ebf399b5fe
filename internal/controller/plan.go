package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

const (
	// firstUrgentShare is the part of an endpoint that an urgent task is taken
	// to need before any was seen, and firstHeadroom the part of the fleet
	// that is kept free for them then.
	firstUrgentShare = 0.1
	firstHeadroom    = 0.08
	// headroom is how many places are kept for each urgent task that runs on
	// average: a burst doubles them within a second or so, and other work
	// leaves its room within a few.
	headroom = 0.6
	// leastPlaces are kept at all times.
	leastPlaces = 4
	// urgentWeight is the weight of a new task in the typical size, and
	// levelWeight that of a plan's count in the average of running ones.
	urgentWeight = 0.02
	levelWeight  = 0.01
	// reservations is how many blocked gangs may hold room back from others.
	reservations = 3
	// permitMargin covers the time from the decision to the arrival of the
	// start: one append and one way over regions.
	permitMargin = 150 * time.Millisecond
	// firstGoodShare is the share of good endpoints taken before any answer.
	firstGoodShare = 0.5
	// urgentQuestions is how many urgent questions may be under way for each
	// instance that they can be put through: those that the service takes in at
	// a time, and as many that wait for a lane.
	urgentQuestions = 6
	// shareWeight is the weight of a new answer in the learned share.
	shareWeight = 0.2
)

// Plan decides what starts now.
func (c *Core) Plan(now clock.Instant) {
	if !c.planDue {
		return
	}
	if c.flow.mayPlan() <= 0 {
		c.flow.limited = true
		return
	}
	c.planDue = false
	c.stats.Plans++
	snapshot := c.snapshot(now)
	if len(snapshot.Demands) == 0 {
		return
	}
	plan := scheduler.MakePlan(snapshot)
	c.log.Debug("planned", "demands", len(snapshot.Demands), "hosts", len(snapshot.Hosts), "starts", len(plan.Starts), "questions", len(plan.Questions), "blocked", plan.Blocked)
	c.applyStarts(now, plan.Starts)
	c.dropHeld()
	c.wanted = plan.GangWaiting
	c.flow.limited = plan.Limited
	for i := range plan.Questions {
		c.ask(&plan.Questions[i])
	}
}

// dropHeld gives up the room that was held for answers which have come.
func (c *Core) dropHeld() {
	for _, e := range c.steps {
		if e.access != nil && !e.access.QuestionInFlight {
			e.access.HeldTasks = nil
		}
	}
}

// snapshot describes the present to the scheduler.
func (c *Core) snapshot(now clock.Instant) *scheduler.Snapshot {
	s := &scheduler.Snapshot{
		Now:       now.Steady,
		MaxStarts: c.flow.mayPlan(),
		WithinQuota: func(customer string, size resource.Vector) bool {
			return customer == "" || c.catalog.Within(customer, c.fleet.Usage(customer), size)
		},
		Policy: scheduler.Policy{
			FarFactor:       c.bounds.FarFactor,
			MaxReservations: reservations,
			PermitMargin:    permitMargin,
			UrgentStarts:    urgentStarts,
		},
	}
	c.backlog.reset()
	s.Questions = max(max(c.lanes-1, 1)-c.asking, 0)
	s.UrgentQuestions = max(urgentQuestions*c.lanes-c.askingUrgent, 0)
	for _, e := range c.steps {
		if d := c.demand(now, e); d != nil {
			c.backlog.count(e)
			s.Demands = append(s.Demands, d)
		}
	}
	if len(s.Demands) == 0 {
		return s
	}
	for _, e := range c.fleet.Endpoints() {
		if c.usable(now, e) {
			h := host(e)
			h.GangWaiting = c.wanted[e]
			s.Hosts = append(s.Hosts, h)
		}
	}
	s.Policy.UrgentSize, s.Policy.UrgentSlots = c.urgentRoom()
	return s
}

// urgentRoom returns the size of a typical urgent task and for how many room
// is kept.
func (c *Core) urgentRoom() (resource.Vector, int) {
	running, total := 0, resource.Vector{}
	for _, e := range c.fleet.Endpoints() {
		total = total.Add(e.Capacity)
		for _, r := range e.Runs() {
			if r.Priority == 0 {
				running++
			}
		}
	}
	c.urgent.level += levelWeight * (float64(running) - c.urgent.level)
	if c.urgent.size.MilliCores == 0 {
		n := max(len(c.fleet.Endpoints()), 1)
		size := resource.Vector{
			MilliCores: int64(firstUrgentShare * float64(total.MilliCores) / float64(n)),
			MemoryMB:   int64(firstUrgentShare * float64(total.MemoryMB) / float64(n)),
		}
		return size, int(firstHeadroom / firstUrgentShare * float64(n))
	}
	return c.urgent.size, max(leastPlaces, int(headroom*c.urgent.level))
}

// urgentLoad is what was learned of urgent work.
type urgentLoad struct {
	// size is the typical size of a task, level the average number that runs.
	size  resource.Vector
	level float64
}

// learn takes an urgent task into the typical size.
func (u *urgentLoad) learn(size resource.Vector) {
	if u.size.MilliCores == 0 {
		u.size = size
		return
	}
	u.size.MilliCores += int64(urgentWeight * float64(size.MilliCores-u.size.MilliCores))
	u.size.MemoryMB += int64(urgentWeight * float64(size.MemoryMB-u.size.MemoryMB))
}

// usable reports whether an endpoint may take new tasks.
func (c *Core) usable(now clock.Instant, e *fleet.Endpoint) bool {
	return e.Adopted && e.Listed && !e.Draining && e.Failures == 0 &&
		e.Clock.Known() && now.Steady >= e.AvoidUntil &&
		len(c.controlOf(e).strangers) == 0 && !c.controlOf(e).silent
}

// host describes an endpoint to the scheduler.
func host(e *fleet.Endpoint) *scheduler.Host {
	h := &scheduler.Host{Endpoint: e, Free: e.Free()}
	for _, r := range e.Runs() {
		h.Releases = append(h.Releases, scheduler.Release{At: r.ExpectedEnd, Size: r.Charge})
	}
	return h
}

// demand describes a step to the scheduler, nil if none of its tasks waits.
func (c *Core) demand(now clock.Instant, e *stepEntry) *scheduler.Demand {
	waiting := c.waitingTasks(e)
	if len(waiting) == 0 {
		return nil
	}
	q := c.catalog.Queue(e.entry.job.Queue)
	if q == nil {
		return nil
	}
	d := &scheduler.Demand{
		Step:        e.step,
		Tasks:       waiting,
		Pool:        q.Pool,
		Urgent:      q.Priority == 0,
		Priority:    q.Priority,
		Excess:      e.entry.job.Excess,
		LatestStart: e.latestStart,
		ReadyAt:     e.since,
		Eligibility: e.access,
	}
	if e.access != nil {
		e.access.EligibleShare = c.goodShareOf(q.Name)
		e.access.QuestionInFlight = e.access.QuestionInFlight || now.Steady < e.askAfter
	}
	if e.step.Spec.MaxPerEndpoint > 0 {
		d.Occupied = c.occupied(e)
	}
	if e.failedOn != nil {
		d.Avoid = func(task int, endpoint string) bool { return e.failedOn[task][endpoint] }
	}
	return d
}

// waitingTasks returns the tasks of a step that wait; those of a gang only if
// none of them occupies an endpoint.
func (c *Core) waitingTasks(e *stepEntry) []int {
	if !e.stale {
		return e.waiting
	}
	e.stale = false
	e.waiting = e.waiting[:0]
	for i := range e.step.Tasks {
		if e.step.Pending(i) && len(c.fleet.RunsOf(e.step.ID(i))) == 0 {
			e.waiting = append(e.waiting, i)
		}
	}
	if e.step.Spec.Gang && len(e.waiting) < len(e.step.Tasks) {
		e.waiting = e.waiting[:0]
	}
	return e.waiting
}

// occupied counts the runs of a step by endpoint.
func (c *Core) occupied(e *stepEntry) map[string]int {
	counts := make(map[string]int)
	for i := range e.step.Tasks {
		for _, r := range c.fleet.RunsOf(e.step.ID(i)) {
			counts[r.Endpoint.ID]++
		}
	}
	return counts
}

// applyStarts enters the decided starts into the books; their orders go out
// when the batch stands in the log.
func (c *Core) applyStarts(now clock.Instant, starts []scheduler.Start) {
	for len(starts) > 0 {
		group := 1
		if starts[0].Demand.Step.Spec.Gang {
			group = len(starts[0].Demand.Tasks)
		}
		c.applyGroup(now, starts[:group])
		starts = starts[group:]
	}
}

func (c *Core) applyGroup(now clock.Instant, group []scheduler.Start) {
	s := group[0].Demand.Step
	number := 0
	if s.Spec.Gang {
		at := make(map[int]*fleet.Endpoint, len(group))
		for _, start := range group {
			at[start.Task] = start.Endpoint
		}
		number = s.BeginGang(func(i int) (string, int64) { return at[i].ID, at[i].Incarnation })
	}
	entry := c.steps[s]
	entry.stale = true
	if entry.access != nil {
		entry.access.HeldTasks = nil
	}
	for _, start := range group {
		n := number
		if !s.Spec.Gang {
			n = s.BeginRun(start.Task, start.Endpoint.ID, start.Endpoint.Incarnation)
		}
		c.place(now, entry, start, n)
	}
	c.batch.touch(entry.entry)
}

// place puts a run on its endpoint.
func (c *Core) place(now clock.Instant, entry *stepEntry, start scheduler.Start, number int) {
	s := entry.step
	r := &fleet.Run{
		Key:       fleet.Key{Task: s.ID(start.Task), Number: number},
		Step:      s,
		Customer:  entry.entry.job.Customer,
		Queue:     entry.entry.job.Queue,
		Priority:  start.Demand.Priority,
		Size:      s.Spec.Size,
		Charge:    s.Spec.Charge(),
		Phase:     fleet.PhaseOrdered,
		OrderedAt: now.Steady,
		Pace:      100,
	}
	r.ExpectedEnd = now.Steady + time.Duration(float64(s.Spec.Estimate)*start.Endpoint.History.Slowdown())
	start.Endpoint.Add(r)
	if !entry.begun {
		entry.begun = true
		c.backlog.begun++
	}
	if r.Priority == 0 {
		c.urgent.learn(r.Charge)
	}
	waited := now.Steady - entry.since
	c.log.Info("run placed", "task", r.Task, "run", r.Number, "endpoint", start.Endpoint.ID, "waited", waited.Round(time.Millisecond),
		"free_millicores", start.Endpoint.Free().MilliCores, "pace", start.Endpoint.History.Slowdown(), "config", c.catalog.Version)
	planned := &plannedStart{run: r, permit: start.Permit, waited: waited}
	if entry.access != nil {
		planned.expires = entry.access.Permits[start.Endpoint].Expires
	}
	c.batch.starts = append(c.batch.starts, planned)
	c.flow.planned++
}

// ask hands out a question.
func (c *Core) ask(q *scheduler.Question) {
	entry := c.steps[q.Demand.Step]
	eligibility := c.catalog.Queue(entry.entry.job.Queue).Eligibility
	if eligibility == nil {
		return
	}
	entry.asked++
	entry.access.QuestionInFlight = true
	entry.access.HeldTasks = q.HeldTasks
	o := &AskOrder{
		Step:        entry.step.Name(),
		Cost:        eligibility.Cost(len(q.Endpoints)),
		Urgent:      q.Demand.Urgent,
		step:        entry,
		sequence:    entry.asked,
		incarnation: make(map[string]*fleet.Endpoint, len(q.Endpoints)),
	}
	for _, e := range q.Endpoints {
		o.Endpoints = append(o.Endpoints, e.ID)
		o.incarnation[e.ID] = e
	}
	c.stats.Questions++
	if o.Urgent {
		c.askingUrgent++
	} else {
		c.asking++
	}
	c.log.Debug("asking for eligible endpoints", "step", o.Step, "endpoints", len(o.Endpoints), "held", len(q.HeldTasks))
	c.emit(o)
}

// askRetry is the pause after a question without an answer.
const askRetry = 100 * time.Millisecond

// AskAnswered takes in the answer to a question.
func (c *Core) AskAnswered(now clock.Instant, o *AskOrder, answer EligibilityAnswer, err error) {
	c.planDue = true
	if o.Urgent {
		c.askingUrgent--
	} else {
		c.asking--
	}
	entry := o.step
	if c.steps[entry.step] != entry || entry.asked != o.sequence {
		return
	}
	c.planDue = true
	a := entry.access
	// What is held stays so until the next plan, in which more urgent work
	// would take it otherwise.
	a.QuestionInFlight = false
	if err != nil {
		c.log.Warn("question about eligible endpoints failed", "job", entry.entry.job.ID, "step", o.Step, "error", err)
		entry.askAfter = now.Steady + askRetry
		return
	}
	c.log.Info("eligible endpoints known", "job", entry.entry.job.ID, "step", o.Step, "asked", len(o.Endpoints), "good", len(answer.Permits), "valid", answer.Valid)
	expires := now.Steady + answer.Valid
	for _, id := range o.Endpoints {
		incarnation := o.incarnation[id]
		token, good := answer.Permits[id]
		a.Eligible[incarnation] = good
		if good {
			a.Permits[incarnation] = scheduler.Permit{Token: token, Expires: expires}
		}
	}
	c.learnShare(entry.entry.job.Queue, float64(len(answer.Permits))/float64(len(o.Endpoints)))
}

func (c *Core) goodShareOf(queue string) float64 {
	if share, ok := c.goodShare[queue]; ok {
		return share
	}
	return firstGoodShare
}

// learnShare takes an answer into the learned share of good endpoints. Answers
// that only renew permits are all good and would teach too much.
func (c *Core) learnShare(queue string, share float64) {
	if share >= 1 {
		return
	}
	const least = 0.05
	learned := c.goodShareOf(queue)
	c.goodShare[queue] = max(least, learned+shareWeight*(share-learned))
}

// forgetPermit drops the permit that an endpoint refused.
func (c *Core) forgetPermit(r *fleet.Run) {
	if entry := c.steps[r.Step]; entry != nil && entry.access != nil {
		delete(entry.access.Permits, r.Endpoint)
	}
}
