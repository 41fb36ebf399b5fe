package placement

import (
	"slices"
	"time"
)

// engine implements Engine incrementally: the cost of a decision depends on the
// number of teams and endpoints of the zone, not on the amount of waiting work.
type engine struct {
	policy  Policy
	filters []filter
	scorers []weightedScorer

	teams       map[string]*team
	teamList    []*team
	waitingByID map[string]*workItem
	running     map[string]*task
	// orphans holds the running tasks whose endpoint is not known, by endpoint
	// id.
	orphans      map[string][]*task
	tasksPerRack rackCounts
	endpoints    endpointSet
	shapes       shapeTable
	seq          uint64

	holdOwners   []*workItem
	reservations []*reservation
	preempting   []*task
	quarantined  []*endpoint
	// suspicionCountdown is above 0 while an endpoint may have a suspicion
	// above 0. See suspicionLifetime.
	suspicionCountdown int

	now              time.Duration
	lastAccrual      time.Duration
	lastHousekeeping time.Duration
	housekeepingDone bool
	// contendingLevel is the mean share per weight of the teams that wait for
	// capacity.
	contendingLevel float64
	// activeLevel is the mean share per weight of all teams with work.
	activeLevel float64

	// limit, failedSearches, searches and decisions belong to the current
	// Schedule call.
	limit          int
	failedSearches int
	searches       int
	decisions      []Decision
	scratch        scratch
}

// scratch holds buffers that are reused between calls to avoid allocations.
type scratch struct {
	candidate candidate
	filters   []filter
	scorers   []weightedScorer
	slots     []gangSlot
	openings  []opening
	ends      []taskEnd
	victims   []*task
	teams     []*team
	capacity  []Resources
}

// New returns an engine without teams, endpoints or work.
func New(options ...Option) Engine {
	e := &engine{
		policy:       DefaultPolicy(),
		filters:      defaultFilters(),
		scorers:      defaultScorers(),
		teams:        map[string]*team{},
		waitingByID:  map[string]*workItem{},
		running:      map[string]*task{},
		orphans:      map[string][]*task{},
		tasksPerRack: rackCounts{},
		endpoints:    newEndpointSet(),
		shapes:       newShapeTable(),
	}
	for _, option := range options {
		option(e)
	}
	return e
}

func (e *engine) team(name string) *team {
	t, ok := e.teams[name]
	if !ok {
		t = &team{Team: Team{Name: name}, statsByQueue: map[string]*queueStats{}, lastOverdueStart: e.now}
		e.teams[name] = t
		at, _ := slices.BinarySearchFunc(e.teamList, t, compareTeams)
		e.teamList = slices.Insert(e.teamList, at, t)
	}
	return t
}

// SetTeam implements Engine.
func (e *engine) SetTeam(spec Team) {
	t := e.team(spec.Name)
	t.Team = spec
	e.updateShareKey(t)
}

// Check implements Engine.
func (e *engine) Check(w Work) Feasibility {
	return checkFeasibility(withDefaultSlot(w), e.capacities(w.Runner))
}

func (e *engine) capacities(runner bool) []Resources {
	all := e.scratch.capacity[:0]
	for _, ep := range e.endpoints.byKind(runner) {
		all = append(all, ep.Capacity)
	}
	e.scratch.capacity = all
	return all
}

// withDefaultSlot returns w with a size of one slot if it is work for service
// runners without a size: a request occupies one slot.
func withDefaultSlot(w Work) Work {
	if w.Runner && w.Size == (Resources{}) {
		w.Size.Slots = 1
	}
	return w
}

// Submit implements Engine.
func (e *engine) Submit(w Work) {
	w = withDefaultSlot(w)
	if w.Class < ClassUrgent || w.Class > ClassBatch {
		w.Class = ClassBatch
	}
	it, waits := e.waitingByID[w.ID]
	fresh := e.newTasks(it, w.Tasks)
	if len(fresh) == 0 {
		return
	}
	if !waits {
		e.seq++
		w.Tasks = fresh
		it = &workItem{Work: w, seq: e.seq}
		e.waitingByID[w.ID] = it
		e.enqueue(e.team(w.Team), it)
		return
	}
	e.replaceTasks(it, append(slices.Clip(it.Tasks), fresh...))
}

// newTasks returns the distinct ids in tasks that are neither running nor waiting.
func (e *engine) newTasks(it *workItem, tasks []string) []string {
	seen := make(map[string]struct{}, len(tasks))
	if it != nil {
		for _, id := range it.Tasks {
			seen[id] = struct{}{}
		}
	}
	fresh := make([]string, 0, len(tasks))
	for _, id := range tasks {
		_, known := seen[id]
		_, runs := e.running[id]
		if known || runs {
			continue
		}
		seen[id] = struct{}{}
		fresh = append(fresh, id)
	}
	return fresh
}

// replaceTasks replaces the waiting tasks of the item.
func (e *engine) replaceTasks(it *workItem, tasks []string) {
	t := it.bucket.team
	if it.Gang {
		e.releaseHolds(it)
	}
	e.dequeue(it)
	it.Tasks = tasks
	e.enqueue(t, it)
}

// Withdraw implements Engine.
func (e *engine) Withdraw(work, task string) bool {
	it, ok := e.waitingByID[work]
	if !ok {
		return false
	}
	at := slices.Index(it.Tasks, task)
	if at < 0 {
		return false
	}
	if len(it.Tasks) == 1 {
		e.removeItem(it)
		return true
	}
	if it.heldTasks() >= len(it.Tasks) {
		e.releaseTaskHold(it, nil)
	}
	e.replaceTasks(it, slices.Delete(it.Tasks, at, at+1))
	return true
}

// Cancel implements Engine.
func (e *engine) Cancel(work string) []string {
	it, ok := e.waitingByID[work]
	if !ok {
		return nil
	}
	tasks := it.Tasks
	e.removeItem(it)
	return tasks
}

// removeItem removes the item from the waiting work and releases its holds.
func (e *engine) removeItem(it *workItem) {
	e.releaseHolds(it)
	e.dequeue(it)
	delete(e.waitingByID, it.ID)
	if it.Spread {
		e.tasksPerRack.release(it.ID)
	}
}

// WaitingTasks implements Engine.
func (e *engine) WaitingTasks(name string) int {
	if t, ok := e.teams[name]; ok {
		return t.waiting
	}
	return 0
}

// RunningTasks implements Engine.
func (e *engine) RunningTasks(name string) int {
	if t, ok := e.teams[name]; ok {
		return t.running
	}
	return 0
}
