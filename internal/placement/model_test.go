package placement

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// model tracks independently of the engine the inputs of two engines and what
// they decided.
type model struct {
	t       *rapid.T
	engines []Engine
	now     time.Duration
	// taskLimits holds MaxRunning by team.
	taskLimits  map[string]int64
	endpoints   map[string]Endpoint
	unavailable map[string]bool
	submitted   map[string]Work
	waiting     map[string]map[string]bool
	running     map[string]RunningTask
	ids         []string
	seq         int
}

var (
	modelTeams  = []string{"ink", "linen", "press"}
	modelQueues = []string{"match", "cost"}
)

func newModel(t *rapid.T) *model {
	return &model{
		t: t, engines: []Engine{New(), New()},
		taskLimits: map[string]int64{}, endpoints: map[string]Endpoint{}, unavailable: map[string]bool{},
		submitted: map[string]Work{}, waiting: map[string]map[string]bool{}, running: map[string]RunningTask{},
	}
}

func (m *model) each(do func(Engine)) {
	for _, e := range m.engines {
		do(e)
	}
}

func (m *model) nextID(kind string) string {
	m.seq++
	return fmt.Sprintf("%s%d", kind, m.seq)
}

func (m *model) setTeam(t *rapid.T) {
	team := Team{
		Name:       rapid.SampledFrom(modelTeams).Draw(t, "team"),
		Weight:     rapid.Int64Range(0, 4).Draw(t, "share"),
		MaxRunning: rapid.Int64Range(0, 40).Draw(t, "bound"),
	}
	m.taskLimits[team.Name] = team.MaxRunning
	m.each(func(e Engine) { e.SetTeam(team) })
}

func (m *model) setEndpoint(t *rapid.T) {
	ep := Endpoint{
		ID:     fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint")),
		Rack:   rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
		Runner: rapid.IntRange(0, 4).Draw(t, "kind") == 0,
	}
	if known, ok := m.endpoints[ep.ID]; ok {
		ep.Runner = known.Runner
	}
	if ep.Runner {
		ep.Capacity.Slots = rapid.Int64Range(1, 8).Draw(t, "slots")
	} else {
		ep.Capacity.MilliCores = rapid.Int64Range(1, 16).Draw(t, "cores") * 1000
		ep.Capacity.MemoryMB = rapid.Int64Range(1, 16).Draw(t, "memory") * 1000
		ep.Capacity.Accelerators = rapid.Int64Range(0, 2).Draw(t, "accelerators")
	}
	m.endpoints[ep.ID] = ep
	m.each(func(e Engine) { e.SetEndpoint(ep) })
}

func (m *model) setAvailable(t *rapid.T) {
	id := fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
	available := rapid.IntRange(0, 2).Draw(t, "available") > 0
	m.unavailable[id] = !available
	if _, ok := m.endpoints[id]; !ok {
		m.unavailable[id] = false
	}
	m.each(func(e Engine) { e.SetAvailable(id, available) })
}

func (m *model) submit(t *rapid.T) {
	w := Work{
		ID: m.nextID("w"), Team: rapid.SampledFrom(modelTeams).Draw(t, "team"),
		Queue:       rapid.SampledFrom(modelQueues).Draw(t, "queue"),
		Class:       Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
		Gang:        rapid.Bool().Draw(t, "gang"),
		Runner:      rapid.IntRange(0, 4).Draw(t, "kind") == 0,
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		Spread:      rapid.Bool().Draw(t, "spread"),
		Enqueued:    m.now,
		RunTime:     time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second,
	}
	if w.Runner {
		w.Size.Slots = 1
	} else {
		w.Size = Resources{
			MilliCores:   rapid.Int64Range(1, 9).Draw(t, "cores") * 1000,
			MemoryMB:     rapid.Int64Range(1, 9).Draw(t, "memory") * 1000,
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		}
	}
	m.waiting[w.ID] = map[string]bool{}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		id := m.nextID("t")
		w.Tasks = append(w.Tasks, id)
		m.waiting[w.ID][id] = true
	}
	m.submitted[w.ID] = w
	m.ids = append(m.ids, w.ID)
	m.each(func(e Engine) { e.Submit(w) })
}

func (m *model) pickWork(t *rapid.T) (string, bool) {
	if len(m.ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(m.ids).Draw(t, "work"), true
}

// resubmit submits all tasks of a unit of work again, like a retry after a lost
// response.
func (m *model) resubmit(t *rapid.T) {
	id, ok := m.pickWork(t)
	if !ok {
		return
	}
	w := m.submitted[id]
	for _, task := range w.Tasks {
		if _, runs := m.running[task]; !runs {
			m.waiting[id][task] = true
		}
	}
	m.each(func(e Engine) { e.Submit(w) })
}

func (m *model) withdraw(t *rapid.T) {
	id, ok := m.pickWork(t)
	if !ok {
		return
	}
	task := rapid.SampledFrom(m.submitted[id].Tasks).Draw(t, "task")
	m.each(func(e Engine) {
		if got, want := e.Withdraw(id, task), m.waiting[id][task]; got != want {
			m.t.Fatalf("Withdraw(%s, %s) = %v, want %v", id, task, got, want)
		}
	})
	delete(m.waiting[id], task)
}

func (m *model) cancel(t *rapid.T) {
	id, ok := m.pickWork(t)
	if !ok {
		return
	}
	m.each(func(e Engine) {
		got := e.Cancel(id)
		if len(got) != len(m.waiting[id]) {
			m.t.Fatalf("Cancel(%s) = %v, want %v", id, got, m.waiting[id])
		}
	})
	m.waiting[id] = map[string]bool{}
}

func (m *model) adopt(t *rapid.T) {
	r := RunningTask{
		Task: m.nextID("a"), Work: m.nextID("x"), Endpoint: fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint")),
		Team: rapid.SampledFrom(modelTeams).Draw(t, "team"), Queue: "match", Class: ClassBatch,
		Size:       Resources{MilliCores: rapid.Int64Range(1, 20).Draw(t, "cores") * 1000},
		Idempotent: true, Preemptible: rapid.Bool().Draw(t, "preemptible"), Started: m.now,
	}
	m.adoptWaiting(t, &r)
	m.running[r.Task] = r
	m.each(func(e Engine) { e.Adopt(r) })
}

// adoptWaiting may replace r by a task that is still waiting in the model, as
// when work is submitted again before an endpoint's inventory shows that it is
// running.
func (m *model) adoptWaiting(t *rapid.T, r *RunningTask) {
	id, ok := m.pickWork(t)
	if !ok || rapid.Bool().Draw(t, "new") {
		return
	}
	w := m.submitted[id]
	task := rapid.SampledFrom(w.Tasks).Draw(t, "task")
	if !m.waiting[id][task] {
		return
	}
	delete(m.waiting[id], task)
	r.Task, r.Work, r.Team, r.Queue, r.Class, r.Size = task, w.ID, w.Team, w.Queue, w.Class, w.Size
	r.Idempotent, r.Preemptible = w.Idempotent, w.Preemptible
}

func (m *model) finish(t *rapid.T) {
	var ids []string
	for i := 1; i <= m.seq; i++ {
		for _, kind := range []string{"t", "a"} {
			if id := fmt.Sprintf("%s%d", kind, i); m.running[id].Task != "" {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) == 0 {
		return
	}
	result := Result(rapid.IntRange(0, 2).Draw(t, "result"))
	for _, id := range rapid.SliceOfN(rapid.SampledFrom(ids), 1, 10).Draw(t, "finished") {
		delete(m.running, id)
		m.each(func(e Engine) { e.Finish(id, m.now, result) })
	}
}
