package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
)

const (
	// maxReservations is the number of blocked gangs that may reserve capacity.
	maxReservations = 3
	// permitMargin covers the time from the decision to the arrival of the
	// start: one append and one transit between regions.
	permitMargin = 150 * time.Millisecond
	// initialEligibleShare is the share of eligible endpoints assumed before
	// the first answer.
	initialEligibleShare = 0.5
	// urgentQuestionsPerInstance is the number of urgent questions in flight
	// per instance through which they can be asked: as many as the service
	// processes at a time, and as many again that wait.
	urgentQuestionsPerInstance = 6
	// eligibleShareWeight is the weight of a new answer in the estimated share.
	eligibleShareWeight = 0.2
)

// Plan decides which tasks start now and which eligibility questions to ask. It
// does nothing unless a plan is due.
func (c *Core) Plan(now clock.Instant) {
	if !c.planDue {
		return
	}
	if c.flow.planCapacity() <= 0 {
		c.flow.planLimited = true
		return
	}
	c.planDue = false
	c.stats.Plans++
	c.plannedAt, c.blocked, c.deferred = now.Steady, false, false
	snapshot := c.snapshot(now)
	if len(snapshot.Demands) == 0 {
		c.noteYielding(nil)
		c.updateDoor(now, snapshot, &scheduler.Plan{})
		return
	}
	plan := scheduler.MakePlan(snapshot)
	c.updateDoor(now, snapshot, &plan)
	c.log.Debug("planned", "demands", len(snapshot.Demands), "hosts", len(snapshot.Hosts), "starts", len(plan.Starts), "questions", len(plan.Questions), "blocked", plan.Blocked)
	c.applyStarts(now, plan.Starts)
	c.preempt(now, plan.Preemptions)
	c.noteYielding(plan.Yielding)
	c.releaseHeld()
	c.wanted, c.lastTurn = plan.GangWaiting, plan.LastTurn
	c.blocked = plan.Blocked > 0
	c.flow.planLimited = plan.Limited
	for i := range plan.Questions {
		c.askEligibility(&plan.Questions[i])
	}
}

// releaseHeld releases the capacity held for questions that have been answered.
func (c *Core) releaseHeld() {
	for _, e := range c.steps {
		if !e.eligibility.QuestionInFlight {
			e.eligibility.HeldTasks = nil
		}
	}
}

// snapshot builds the scheduler's input from the present state.
func (c *Core) snapshot(now clock.Instant) *scheduler.Snapshot {
	s := &scheduler.Snapshot{
		Now:       now.Steady,
		LastTurn:  c.lastTurn,
		MaxStarts: c.flow.planCapacity(),
		WithinQuota: func(customer string, size resource.Vector) bool {
			return customer == "" || c.catalog.WithinQuota(customer, c.fleet.Usage(customer), size)
		},
		Policy: scheduler.Policy{
			FarFactor:       c.params.FarFactor,
			MaxReservations: maxReservations,
			PermitMargin:    permitMargin,
			UrgentStarts:    urgentStartReserve,
			GangRoom:        c.params.Features.GangRoom,
			StopTime:        c.params.StopGrace + stopMargin,
		},
	}
	c.backlog.reset()
	// Non-urgent questions use all instances but one, or the only one.
	s.QuestionsInAll = max(c.eligibilityInstances-1, 1)
	s.Questions = max(s.QuestionsInAll-c.questionsInFlight, 0)
	s.UrgentQuestions = max(urgentQuestionsPerInstance*c.eligibilityInstances-c.urgentQuestionsInFlight, 0)
	doubt := c.startsInDoubt()
	for _, e := range c.steps {
		if d := c.demand(now, e, doubt); d != nil {
			c.backlog.add(e)
			s.Demands = append(s.Demands, d)
		}
	}
	if len(s.Demands) == 0 {
		c.noteOver(nil)
		return s
	}
	s.Hosts = c.hosts(now)
	s.Policy.Headrooms = c.headrooms(now, s.Hosts)
	if c.params.Features.Preemption {
		c.offerVictims(now, s)
	}
	if c.params.Features.Shares {
		c.markOverShare(now, s)
	}
	return s
}

// usable reports whether new tasks may be placed on an endpoint.
func (c *Core) usable(now clock.Instant, e *fleet.Endpoint) bool {
	return e.Adopted && e.Listed && e.Described() && !e.Draining && !c.isEvacuated(e) && e.Failures == 0 &&
		e.Clock.Known() && now.Steady >= e.AvoidUntil &&
		len(c.endpointStateOf(e).unwantedRuns) == 0 && len(c.endpointStateOf(e).bars) == 0 && !c.endpointStateOf(e).silent
}

// hosts builds the scheduler's input for the usable endpoints. A plan is made many times a
// second, so that all hosts share one allocation and all releases another.
func (c *Core) hosts(now clock.Instant) []*scheduler.Host {
	endpoints, runs := c.fleet.Endpoints(), 0
	for _, e := range endpoints {
		runs += len(e.Runs())
	}
	storage := make([]scheduler.Host, 0, len(endpoints))
	releases := make([]scheduler.Release, 0, runs)
	hosts := make([]*scheduler.Host, 0, len(endpoints))
	for _, e := range endpoints {
		if !c.usable(now, e) {
			continue
		}
		first := len(releases)
		for _, r := range e.Runs() {
			if willEnd(r) {
				releases = append(releases, scheduler.Release{At: r.ExpectedEnd, Size: r.Charge})
			}
		}
		storage = append(storage, scheduler.Host{Endpoint: e, Free: e.Free(), GangWaiting: c.wanted[e], Releases: releases[first:len(releases):len(releases)]})
		hosts = append(hosts, &storage[len(storage)-1])
	}
	return hosts
}

// willEnd reports whether a run has an end to expect: a task that lasts has one only while
// it is being stopped.
func willEnd(r *fleet.Run) bool {
	return r.Step == nil || !r.Step.Spec.LongRunning || r.Phase == fleet.PhaseStopping
}

// demand builds the scheduler's input for a step, beside the starts that are in doubt. It
// returns nil if none of the step's tasks may start, its queue is not configured, its starts
// are paused or the registered endpoints could not run it.
func (c *Core) demand(now clock.Instant, e *stepEntry, doubt []endpointStarts) *scheduler.Demand {
	waiting := c.waitingTasks(e)
	if len(waiting) == 0 {
		e.waitingSince = 0
		return nil
	}
	if e.waitingSince == 0 {
		e.waitingSince = now.Steady
	}
	if waiting = c.withoutLateStarts(now, e.step, waiting, doubt); len(waiting) == 0 {
		return nil
	}
	q := c.catalog.Queue(e.jobEntry.job.Queue)
	if q == nil || now.Steady < e.placeAfter || !c.couldRun(e, q) {
		return nil
	}
	d := &scheduler.Demand{
		Step:        e.step,
		Tasks:       waiting,
		Pool:        q.Pool,
		Urgent:      q.Priority == 0,
		Priority:    q.Priority,
		Excess:      e.jobEntry.job.Excess,
		LatestStart: e.latestStart,
		ReadyAt:     e.since,
		Idle:        e.step.Spec.LongRunning || e.atWork == 0,
		IdleSince:   e.idleSince(),
		Duration:    c.runTimeOf(e.step),
		Eligibility: c.eligibilityOf(now, e, q),
	}
	if e.step.Spec.MaxPerEndpoint > 0 {
		d.Occupied = c.runsPerEndpoint(e)
	}
	if e.failedOn != nil {
		d.Avoid = func(task int, endpoint string) bool { return e.failedOn[task][endpoint] }
	}
	return d
}

// couldRun reports whether the registered endpoints could run a step if they were idle.
// A step that they can't run waits for others to register, or for the operator to take
// back the request to empty an availability zone. It is left out of plans, in which it
// would take the place of work that can start. In the backlog it counts only if it waits
// for an availability zone, as those come back.
func (c *Core) couldRun(e *stepEntry, q *catalog.Queue) bool {
	spec, tasks := e.step.Spec, 1
	if spec.Gang {
		tasks = spec.Count
	}
	impossible := !c.fleet.CouldHold(q.Pool, spec.RequiredLabel, spec.Charge(), spec.MaxPerEndpoint, tasks)
	evacuated := impossible && c.fleet.CouldHoldOnceOpen(q.Pool, spec.RequiredLabel, spec.Charge(), spec.MaxPerEndpoint, tasks)
	if impossible != e.impossible || evacuated != e.awaitsZone {
		e.impossible, e.awaitsZone = impossible, evacuated
		c.log.Info("registered endpoints have changed for a step", "job", e.jobEntry.job.ID, "step", e.step.Name(), "queue", q.Name,
			"could_run", !impossible, "evacuated", evacuated, "pool", q.Pool, "label", spec.RequiredLabel,
			"millicores", spec.Charge().MilliCores, "tasks_at_once", tasks)
	}
	if evacuated {
		c.backlog.add(e)
	}
	return !impossible
}

// waitingTasks returns the indexes of the waiting tasks of a step. For a gang
// there are none while any of its tasks occupies an endpoint.
func (c *Core) waitingTasks(e *stepEntry) []int {
	if !e.waitingStale {
		return e.waiting
	}
	e.waitingStale = false
	e.waiting, e.atWork = e.waiting[:0], 0
	for i := range e.step.Tasks {
		switch {
		case len(c.fleet.RunsOf(e.step.ID(i))) > 0:
			e.atWork++
		case e.step.Pending(i):
			e.waiting = append(e.waiting, i)
		}
	}
	if e.step.Spec.Gang && len(e.waiting) < len(e.step.Tasks) {
		e.waiting = e.waiting[:0]
	}
	return e.waiting
}

// idleSince returns since when a step with waiting tasks has none at work or, if its tasks
// last, since when some wait.
func (se *stepEntry) idleSince() time.Duration {
	if se.step.Spec.LongRunning {
		return se.waitingSince
	}
	return max(se.since, se.lastEnd)
}

// runsPerEndpoint counts the runs of a step by endpoint id.
func (c *Core) runsPerEndpoint(e *stepEntry) map[string]int {
	counts := make(map[string]int)
	for i := range e.step.Tasks {
		for _, r := range c.fleet.RunsOf(e.step.ID(i)) {
			counts[r.Endpoint.ID]++
		}
	}
	return counts
}

// applyStarts records the planned starts. Their orders are sent once the batch
// is committed.
func (c *Core) applyStarts(now clock.Instant, starts []scheduler.Start) {
	for len(starts) > 0 {
		group := 1
		if starts[0].Demand.Step.Spec.Gang {
			group = len(starts[0].Demand.Tasks)
		}
		c.applyStartGroup(now, starts[:group])
		starts = starts[group:]
	}
}

func (c *Core) applyStartGroup(now clock.Instant, group []scheduler.Start) {
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
	entry.waitingStale = true
	entry.eligibility.HeldTasks = nil
	for _, start := range group {
		n := number
		if !s.Spec.Gang {
			n = s.BeginRun(start.Task, start.Endpoint.ID, start.Endpoint.Incarnation)
		}
		c.placeRun(now, entry, start, n)
	}
	c.batch.addProgress(entry.jobEntry)
}

// placeRun adds a run to its endpoint and its start to the batch.
func (c *Core) placeRun(now clock.Instant, entry *stepEntry, start scheduler.Start, number int) {
	s := entry.step
	r := &fleet.Run{
		Key:       fleet.Key{Task: s.ID(start.Task), Number: number},
		Step:      s,
		Customer:  entry.jobEntry.job.Customer,
		Queue:     entry.jobEntry.job.Queue,
		Priority:  start.Demand.Priority,
		Size:      s.Spec.Size,
		Charge:    s.Spec.Charge(),
		Phase:     fleet.PhaseOrdered,
		OrderedAt: now.Steady,
		Pace:      100,
	}
	r.ExpectedEnd = now.Steady + start.Endpoint.RunTime(start.Demand.Duration, now.Steady)
	start.Endpoint.Add(r)
	if r.Priority == 0 {
		c.noteUrgentTask(start.Demand.Pool, s.Spec)
	}
	waited := now.Steady - entry.since
	c.log.Info("run placed", "task", r.Task, "run", r.Number, "endpoint", start.Endpoint.ID, "waited", waited.Round(time.Millisecond),
		"free_millicores", start.Endpoint.Free().MilliCores, "pace", start.Endpoint.History.Slowdown(), "cold", start.Endpoint.Cold(now.Steady),
		"stated", s.Spec.Estimate, "expected", start.Demand.Duration.Round(time.Millisecond), "over_share", start.Demand.OverShare, "zones_emptied", len(c.evacuated),
		"config", c.catalog.Version)
	planned := &plannedStart{run: r, permit: start.Permit, waited: waited}
	if a := start.Demand.Eligibility; a != nil {
		planned.expires = a.Permits[start.Endpoint].Expires
	}
	c.batch.starts = append(c.batch.starts, planned)
	c.flow.planned++
}

// askEligibility emits an eligibility question.
func (c *Core) askEligibility(q *scheduler.Question) {
	entry := c.steps[q.Demand.Step]
	service := c.catalog.Queue(entry.jobEntry.job.Queue).Eligibility
	if service == nil {
		return
	}
	if entry.unanswered == 0 {
		entry.askSequence++
	}
	entry.unanswered++
	entry.eligibility.QuestionInFlight = true
	entry.eligibility.HeldTasks = q.HeldTasks
	o := &AskOrder{
		Step:          entry.step.Name(),
		Cost:          service.Cost(len(q.Endpoints)),
		Urgent:        q.Demand.Urgent,
		step:          entry,
		sequence:      entry.askSequence,
		endpointsByID: make(map[string]*fleet.Endpoint, len(q.Endpoints)),
	}
	for _, e := range q.Endpoints {
		o.Endpoints = append(o.Endpoints, e.ID)
		o.endpointsByID[e.ID] = e
	}
	c.stats.Questions++
	if o.Urgent {
		c.urgentQuestionsInFlight++
	} else {
		c.questionsInFlight++
	}
	c.log.Debug("asking for eligible endpoints", "step", o.Step, "endpoints", len(o.Endpoints), "held", len(q.HeldTasks))
	c.emit(o)
}

// askRetry is the delay after a question without an answer.
const askRetry = 100 * time.Millisecond

// AskAnswered handles the answer to a question.
func (c *Core) AskAnswered(now clock.Instant, o *AskOrder, answer EligibilityAnswer, err error) {
	c.planDue = true
	if o.Urgent {
		c.urgentQuestionsInFlight--
	} else {
		c.questionsInFlight--
	}
	entry := o.step
	if c.steps[entry.step] != entry || entry.askSequence != o.sequence {
		return
	}
	c.planDue = true
	a := entry.eligibility
	// The capacity stays held until the next plan, in which more urgent work
	// would take it otherwise.
	entry.unanswered--
	a.QuestionInFlight = entry.unanswered > 0
	if err != nil {
		c.log.Warn("question about eligible endpoints failed", "job", entry.jobEntry.job.ID, "step", o.Step, "error", err)
		entry.askAfter = now.Steady + askRetry
		return
	}
	c.log.Info("eligible endpoints known", "job", entry.jobEntry.job.ID, "step", o.Step, "asked", len(o.Endpoints), "good", len(answer.Permits), "valid", answer.Valid)
	expires := now.Steady + answer.Valid
	for _, id := range o.Endpoints {
		endpoint := o.endpointsByID[id]
		token, eligible := answer.Permits[id]
		a.SetEligible(endpoint, eligible)
		if eligible {
			a.Permits[endpoint] = scheduler.Permit{Token: token, Expires: expires}
		}
	}
	c.updateEligibleShare(entry.jobEntry.job.Queue, float64(len(answer.Permits))/float64(len(o.Endpoints)))
}

func (c *Core) eligibleShareOf(queue string) float64 {
	if share, ok := c.eligibleShare[queue]; ok {
		return share
	}
	return initialEligibleShare
}

// updateEligibleShare adds an answer to the estimated share of eligible
// endpoints. It skips answers in which all endpoints are eligible: they mostly
// renew permits and would raise the estimate too much.
func (c *Core) updateEligibleShare(queue string, share float64) {
	if share >= 1 {
		return
	}
	const minShare = 0.05
	current := c.eligibleShareOf(queue)
	c.eligibleShare[queue] = max(minShare, current+eligibleShareWeight*(share-current))
}

// dropPermit removes a permit that an endpoint refused.
func (c *Core) dropPermit(r *fleet.Run) {
	if entry := c.steps[r.Step]; entry != nil {
		delete(entry.eligibility.Permits, r.Endpoint)
	}
}
