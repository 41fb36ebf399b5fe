package placement

import (
	"slices"
	"time"
)

// engine implements Engine incrementally: a decision looks at the teams and
// the endpoints of the zone, never at all waiting work.
type engine struct {
	policy  Policy
	filters []filter
	scorers []weightedScorer

	teams    map[string]*team
	teamList []*team
	works    map[string]*item
	running  map[string]*task
	// orphans are running tasks whose endpoint is not known, by endpoint.
	orphans map[string][]*task
	spreads rackCounts
	fleet   fleet
	shapes  shapeTable
	seq     uint64

	owners       []*item
	reservations []*reservation
	preempting   []*task
	quarantined  []*endpoint
	// suspects is above 0 while an endpoint may have a suspicion.
	suspects int

	now         time.Duration
	accruedAt   time.Duration
	housekeptAt time.Duration
	housekept   bool
	// level is the mean share per weight of the teams that wait for room.
	level float64
	// activeLevel is that of all teams with work.
	activeLevel float64

	// limit, misses, searches and out belong to the Schedule call under way.
	limit    int
	misses   int
	searches int
	out      []Decision
	scratch  scratch
}

// scratch is memory that is used again from call to call.
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

// New returns an engine with no teams, endpoints or work.
func New(options ...Option) Engine {
	e := &engine{
		policy:  DefaultPolicy(),
		filters: defaultFilters(),
		scorers: defaultScorers(),
		teams:   map[string]*team{},
		works:   map[string]*item{},
		running: map[string]*task{},
		orphans: map[string][]*task{},
		spreads: rackCounts{},
		fleet:   newFleet(),
		shapes:  newShapeTable(),
	}
	for _, option := range options {
		option(e)
	}
	return e
}

func (e *engine) team(name string) *team {
	t, ok := e.teams[name]
	if !ok {
		t = &team{Team: Team{Name: name}, sources: map[string]*source{}, promotedAt: e.now}
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
	e.rescore(t)
}

// Check implements Engine.
func (e *engine) Check(w Work) Verdict { return check(sized(w), e.capacities(w.Runner)) }

func (e *engine) capacities(runner bool) []Resources {
	all := e.scratch.capacity[:0]
	for _, ep := range e.fleet.kind(runner) {
		all = append(all, ep.Capacity)
	}
	e.scratch.capacity = all
	return all
}

// sized gives work for service runners the one slot that a request occupies.
func sized(w Work) Work {
	if w.Runner && w.Size == (Resources{}) {
		w.Size.Slots = 1
	}
	return w
}

// Submit implements Engine.
func (e *engine) Submit(w Work) {
	w = sized(w)
	if w.Class < ClassUrgent || w.Class > ClassBatch {
		w.Class = ClassBatch
	}
	it, waits := e.works[w.ID]
	fresh := e.freshTasks(it, w.Tasks)
	if len(fresh) == 0 {
		return
	}
	if !waits {
		e.seq++
		w.Tasks = fresh
		it = &item{Work: w, seq: e.seq}
		e.works[w.ID] = it
		e.push(e.team(w.Team), it)
		return
	}
	e.change(it, append(slices.Clip(it.Tasks), fresh...))
}

// freshTasks returns the tasks that neither run nor wait, each once.
func (e *engine) freshTasks(it *item, tasks []string) []string {
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

// change replaces the waiting tasks of it.
func (e *engine) change(it *item, tasks []string) {
	t := it.bucket.team
	if it.Gang {
		e.abandon(it)
	}
	e.pull(it)
	it.Tasks = tasks
	e.push(t, it)
}

// Withdraw implements Engine.
func (e *engine) Withdraw(work, task string) bool {
	it, ok := e.works[work]
	if !ok {
		return false
	}
	at := slices.Index(it.Tasks, task)
	if at < 0 {
		return false
	}
	if len(it.Tasks) == 1 {
		e.forget(it)
		return true
	}
	if it.held() >= len(it.Tasks) {
		e.consume(it, nil)
	}
	e.change(it, slices.Delete(it.Tasks, at, at+1))
	return true
}

// Cancel implements Engine.
func (e *engine) Cancel(work string) []string {
	it, ok := e.works[work]
	if !ok {
		return nil
	}
	tasks := it.Tasks
	e.forget(it)
	return tasks
}

// forget removes it from the waiting work, with the room held for it.
func (e *engine) forget(it *item) {
	e.abandon(it)
	e.pull(it)
	delete(e.works, it.ID)
	if it.Spread {
		e.spreads.release(it.ID)
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
