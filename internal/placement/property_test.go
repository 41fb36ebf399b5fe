package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func (m *model) schedule(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 40000).Draw(t, "ms")) * time.Millisecond
	limit := rapid.IntRange(1, 30).Draw(t, "limit")
	got := m.engines[0].Schedule(m.now, limit)
	if diff := cmp.Diff(got, m.engines[1].Schedule(m.now, limit)); diff != "" {
		m.t.Fatalf("two engines with the same history decide differently:\n%s", diff)
	}
	m.checkLimit(got, limit)
	defer m.checkNothingSkipped(len(got), limit)
	gangs := map[string]int{}
	for _, d := range got {
		if d.Preempt {
			m.checkPreempt(d)
			continue
		}
		m.checkStart(d)
		if m.submitted[d.Work].Gang {
			gangs[d.Work]++
		}
	}
	for id, started := range gangs {
		if len(m.waiting[id]) != 0 {
			m.t.Fatalf("gang %s started %d tasks and left %d", id, started, len(m.waiting[id]))
		}
	}
}

// checkNothingSkipped fails if a task still waits although its team is below its task
// limit and the task fits, while no capacity is held and the limit of the call was
// not reached.
func (m *model) checkNothingSkipped(decisions, limit int) {
	e := m.engines[0].(*engine)
	// Capacity freed by the last steps of a call is considered by the next call.
	if decisions >= limit || len(e.holdOwners) > 0 || len(e.endpoints.gainedCapacity) > 0 {
		return
	}
	for id, tasks := range m.waiting {
		w := m.submitted[id]
		if len(tasks) == 0 || w.Gang || int64(e.RunningTasks(w.Team)) >= m.taskLimits[w.Team] {
			continue
		}
		for _, ep := range e.endpoints.byKind(w.Runner) {
			if ep.schedulable(m.now) && w.Size.Fits(ep.free) {
				m.t.Fatalf("work %s of size %+v waits although %+v is free on %s", id, w.Size, ep.free, ep.ID)
			}
		}
	}
}

// checkLimit allows decisions beyond the limit only as the rest of a group that
// began within it: one gang, or preemptions.
func (m *model) checkLimit(got []Decision, limit int) {
	if len(got) <= limit {
		return
	}
	last := got[limit-1]
	for _, d := range got[limit:] {
		sameGang := !d.Preempt && d.Work == last.Work && m.submitted[d.Work].Gang
		if !sameGang && (!d.Preempt || !last.Preempt) {
			m.t.Fatalf("%d decisions for limit %d: %+v", len(got), limit, got)
		}
	}
}

func (m *model) checkPreempt(d Decision) {
	r, ok := m.running[d.Task]
	if !ok || r.Endpoint != d.Endpoint {
		m.t.Fatalf("preempts %+v, which does not run there", d)
	}
	if !r.Idempotent || !r.Preemptible {
		m.t.Fatalf("preempts %+v, which must not be stopped", r)
	}
}

func (m *model) checkStart(d Decision) {
	w, ep := m.submitted[d.Work], m.endpoints[d.Endpoint]
	if !m.waiting[d.Work][d.Task] {
		m.t.Fatalf("starts %+v, which does not wait", d)
	}
	if w.Runner != ep.Runner || m.unavailable[ep.ID] {
		m.t.Fatalf("starts %+v on %+v (unavailable: %v)", w, ep, m.unavailable[ep.ID])
	}
	delete(m.waiting[d.Work], d.Task)
	m.running[d.Task] = RunningTask{
		Task: d.Task, Endpoint: d.Endpoint, Team: w.Team, Size: w.Size, Idempotent: w.Idempotent, Preemptible: w.Preemptible,
	}
	used := Resources{}
	count := int64(0)
	for _, r := range m.running {
		if r.Endpoint == d.Endpoint {
			used = used.Add(r.Size)
		}
		if r.Team == w.Team {
			count++
		}
	}
	if !used.Fits(ep.Capacity) {
		m.t.Fatalf("endpoint %s runs tasks of size %+v with capacity %+v", ep.ID, used, ep.Capacity)
	}
	if count > m.taskLimits[w.Team] {
		m.t.Fatalf("team %s runs %d tasks, limit %d", w.Team, count, m.taskLimits[w.Team])
	}
}

// removeEndpoint removes an endpoint on which no task runs.
func (m *model) removeEndpoint(t *rapid.T) {
	id := fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
	for _, r := range m.running {
		if r.Endpoint == id {
			return
		}
	}
	delete(m.endpoints, id)
	delete(m.unavailable, id)
	m.each(func(e Engine) { e.RemoveEndpoint(id) })
}

// checkCounts compares the numbers of waiting and running tasks.
func (m *model) checkCounts(t *rapid.T) {
	for _, team := range modelTeams {
		waiting, running := 0, 0
		for id, tasks := range m.waiting {
			if m.submitted[id].Team == team {
				waiting += len(tasks)
			}
		}
		for _, r := range m.running {
			if r.Team == team {
				running++
			}
		}
		m.each(func(e Engine) {
			if e.WaitingTasks(team) != waiting || e.RunningTasks(team) != running {
				t.Fatalf("team %s: %d waiting and %d running, want %d and %d", team, e.WaitingTasks(team), e.RunningTasks(team), waiting, running)
			}
		})
	}
}

// TestInvariantsHold drives two engines through the same random history and
// checks capacity, task limits, complete gangs, task counts and determinism at
// each step.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 4 {
			m.setEndpoint(t)
		}
		for range 3 {
			m.setTeam(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"team": m.setTeam, "endpoint": m.setEndpoint, "available": m.setAvailable, "remove": m.removeEndpoint, "submit": m.submit, "submit2": m.submit,
			"resubmit": m.resubmit, "withdraw": m.withdraw, "cancel": m.cancel, "adopt": m.adopt, "finish": m.finish,
			"schedule": m.schedule, "schedule2": m.schedule, "": m.checkCounts,
		})
	})
}

// TestMoreEndpointsNeverStartFewerTasks holds for work of one size per call,
// without reservations, on equal endpoints.
func TestMoreEndpointsNeverStartFewerTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		works := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 20).Draw(t, "works")
		gangs := rapid.Bool().Draw(t, "gangs")
		small := rapid.IntRange(0, 8).Draw(t, "endpoints")
		extra := rapid.IntRange(0, 4).Draw(t, "extra")
		count := func(endpoints int) int {
			e := New()
			e.SetTeam(Team{Name: "ink", Weight: 1, MaxRunning: 1000})
			for i := range endpoints {
				e.SetEndpoint(worker(fmt.Sprintf("w%d", i)))
			}
			for i, tasks := range works {
				w := Work{ID: fmt.Sprint(i), Team: "ink", Class: ClassBatch, Size: oneCore()}
				// All gangs have the same size, so that a larger one can't displace two.
				w.Gang = gangs
				if gangs {
					tasks = works[0]
				}
				for j := range tasks {
					w.Tasks = append(w.Tasks, fmt.Sprintf("%d-%d", i, j))
				}
				e.Submit(w)
			}
			return len(e.Schedule(0, 1000))
		}
		if before, after := count(small), count(small+extra); after < before {
			t.Fatalf("%d endpoints start %d, %d start %d", small, before, small+extra, after)
		}
	})
}
