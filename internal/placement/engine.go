package placement

import (
	"cmp"
	"slices"
	"time"
)

type workState struct {
	Work
	seq uint64
}

type endpointState struct {
	Endpoint
	available bool
	used      Resources
}

func (e *endpointState) free() Resources { return e.Capacity.sub(e.used) }

type teamState struct {
	Team
	waiting int
	running int
}

type engine struct {
	teams     map[string]*teamState
	endpoints map[string]*endpointState
	order     []*endpointState
	works     map[string]*workState
	queue     []*workState
	running   map[string]*Running
	seq       uint64
}

// New returns an engine with no teams, endpoints or work.
func New() Engine {
	return &engine{
		teams:     map[string]*teamState{},
		endpoints: map[string]*endpointState{},
		works:     map[string]*workState{},
		running:   map[string]*Running{},
	}
}

func (e *engine) team(name string) *teamState {
	t, ok := e.teams[name]
	if !ok {
		t = &teamState{Team: Team{Name: name}}
		e.teams[name] = t
	}
	return t
}

func (e *engine) SetTeam(t Team) { e.team(t.Name).Team = t }

func (e *engine) SetEndpoint(ep Endpoint) {
	if s, ok := e.endpoints[ep.ID]; ok {
		s.Endpoint = ep
		return
	}
	s := &endpointState{Endpoint: ep, available: true}
	e.endpoints[ep.ID] = s
	e.order = append(e.order, s)
	slices.SortFunc(e.order, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
}

func (e *engine) SetAvailable(id string, available bool) {
	if s, ok := e.endpoints[id]; ok {
		s.available = available
	}
}

func (e *engine) RemoveEndpoint(id string) {
	delete(e.endpoints, id)
	e.order = slices.DeleteFunc(e.order, func(s *endpointState) bool { return s.ID == id })
}

func (e *engine) Adopt(r Running) {
	if _, ok := e.running[r.Task]; ok {
		return
	}
	e.start(r)
}

func (e *engine) start(r Running) {
	e.running[r.Task] = &r
	e.team(r.Team).running++
	if s, ok := e.endpoints[r.Endpoint]; ok {
		s.used = s.used.add(r.Size)
	}
}

func (e *engine) Check(w Work) Verdict {
	var capacities []Resources
	for _, s := range e.order {
		if s.Runner == w.Runner {
			capacities = append(capacities, s.Capacity)
		}
	}
	return check(w, capacities)
}

func (e *engine) Submit(w Work) {
	if len(w.Tasks) == 0 {
		return
	}
	e.team(w.Team).waiting += len(w.Tasks)
	if s, ok := e.works[w.ID]; ok {
		s.Tasks = append(s.Tasks, w.Tasks...)
		return
	}
	w.Tasks = slices.Clone(w.Tasks)
	e.seq++
	s := &workState{Work: w, seq: e.seq}
	e.works[w.ID] = s
	at, _ := slices.BinarySearchFunc(e.queue, s, compareWork)
	e.queue = slices.Insert(e.queue, at, s)
}

func compareWork(a, b *workState) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(a.Enqueued, b.Enqueued),
		cmp.Compare(a.seq, b.seq),
	)
}

func (e *engine) Withdraw(work, task string) bool {
	s, ok := e.works[work]
	if !ok {
		return false
	}
	at := slices.Index(s.Tasks, task)
	if at < 0 {
		return false
	}
	s.Tasks = slices.Delete(s.Tasks, at, at+1)
	e.team(s.Team).waiting--
	e.dropEmpty(s)
	return true
}

func (e *engine) dropEmpty(s *workState) {
	if len(s.Tasks) > 0 {
		return
	}
	delete(e.works, s.ID)
	if at, found := slices.BinarySearchFunc(e.queue, s, compareWork); found {
		e.queue = slices.Delete(e.queue, at, at+1)
	}
}

func (e *engine) Cancel(work string) []string {
	s, ok := e.works[work]
	if !ok {
		return nil
	}
	tasks := s.Tasks
	s.Tasks = nil
	e.team(s.Team).waiting -= len(tasks)
	e.dropEmpty(s)
	return tasks
}

func (e *engine) Finish(task string, _ time.Duration, _ Result) {
	r, ok := e.running[task]
	if !ok {
		return
	}
	delete(e.running, task)
	e.team(r.Team).running--
	if s, ok := e.endpoints[r.Endpoint]; ok {
		s.used = s.used.sub(r.Size)
	}
}

func (e *engine) Usage(string, Resources) {}

func (e *engine) Waiting(team string) int { return e.team(team).waiting }

func (e *engine) RunningTasks(team string) int { return e.team(team).running }

func (e *engine) Schedule(now time.Duration, limit int) []Decision {
	var decisions []Decision
	for _, s := range slices.Clone(e.queue) {
		if len(decisions) >= limit {
			break
		}
		decisions = append(decisions, e.place(s, now, limit-len(decisions))...)
	}
	return decisions
}

// place starts as many tasks of s as bounds, room and limit allow; a gang
// starts whole, even past limit, or not at all.
func (e *engine) place(s *workState, now time.Duration, limit int) []Decision {
	t := e.team(s.Team)
	want := min(len(s.Tasks), int(max(0, t.Bound-int64(t.running))))
	if s.Gang {
		if want < len(s.Tasks) {
			return nil
		}
	} else {
		want = min(want, limit)
	}
	chosen := e.choose(s, want)
	if len(chosen) == 0 || s.Gang && len(chosen) < len(s.Tasks) {
		return nil
	}
	var decisions []Decision
	for i, ep := range chosen {
		task := s.Tasks[i]
		e.start(Running{
			Task: task, Work: s.ID, Endpoint: ep.ID, Team: s.Team, Queue: s.Queue, Class: s.Class, Size: s.Size,
			Idempotent: s.Idempotent, Preemptible: s.Preemptible, Started: now, RunTime: s.RunTime,
		})
		decisions = append(decisions, Decision{Work: s.ID, Task: task, Endpoint: ep.ID})
	}
	t.waiting -= len(chosen)
	s.Tasks = slices.Delete(s.Tasks, 0, len(chosen))
	e.dropEmpty(s)
	return decisions
}

// choose returns an endpoint for each of up to want tasks, first fit.
func (e *engine) choose(s *workState, want int) []*endpointState {
	var chosen []*endpointState
	for _, ep := range e.order {
		if !ep.available || ep.Runner != s.Runner {
			continue
		}
		n := s.Size.copies(ep.free(), int64(want-len(chosen)))
		for range n {
			chosen = append(chosen, ep)
		}
		if len(chosen) == want {
			break
		}
	}
	return chosen
}
