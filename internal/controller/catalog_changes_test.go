package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// withoutService removes the eligibility service of a queue.
func withoutService(q *catalog.Queue) { q.Eligibility = nil }

// withService gives a queue the eligibility service of the queue "urgent".
func withService(q *catalog.Queue) {
	q.Eligibility = &catalog.Eligibility{Base: 7 * time.Millisecond, PerEndpoint: 100 * time.Microsecond, Valid: 2 * time.Second}
}

// TestStepFollowsServiceOfItsQueue changes whether a queue is configured and has an
// eligibility service while a job of two steps of a second each is under way. A step
// must ask the service if, and only if, its queue has one when it starts.
func TestStepFollowsServiceOfItsQueue(t *testing.T) {
	const jobID = "a000000000000001"
	type change struct {
		at time.Duration
		do func(w *world)
	}
	publish := func(at time.Duration, what func(w *world) func(*catalog.Catalog)) change {
		return change{at: at, do: func(w *world) { w.publish(what(w)) }}
	}
	remove := func(*world) func(*catalog.Catalog) { return removeQueue("urgent") }
	add := func(w *world) func(*catalog.Catalog) { return w.addQueue("urgent") }
	gain := func(w *world) func(*catalog.Catalog) { return w.changeQueue("urgent", withService) }
	lose := func(w *world) func(*catalog.Catalog) { return w.changeQueue("urgent", withoutService) }
	newHolder := func(at time.Duration) change {
		return change{at: at, do: func(w *world) {
			w.current().dead = true
			w.beginTerm()
		}}
	}
	tests := []struct {
		name string
		// before is the state of the queue at the submission.
		before  func(w *world) func(*catalog.Catalog)
		changes []change
		// silentUntil is until when the service doesn't answer.
		silentUntil time.Duration
		// maxRefused bounds the starts that endpoints refuse for want of a permit.
		maxRefused int
	}{
		{name: "no change"},
		{name: "removed while a step becomes ready", changes: []change{publish(500*time.Millisecond, remove), publish(5*time.Second, add)}},
		{name: "removed when a new holder reads the job", changes: []change{publish(500*time.Millisecond, remove), newHolder(4 * time.Second), publish(5*time.Second, add)}},
		{name: "removed before the first question is answered", silentUntil: time.Second, changes: []change{publish(200*time.Millisecond, remove), publish(3*time.Second, add)}},
		{name: "removed and back with a question in flight", silentUntil: 2 * time.Second, changes: []change{publish(200*time.Millisecond, remove), publish(600*time.Millisecond, add)}},
		{name: "service gained while a step runs", before: lose, changes: []change{publish(500*time.Millisecond, gain)}},
		{name: "service gained while the queue is away", before: lose, changes: []change{publish(500*time.Millisecond, remove), publish(4*time.Second, gain)}},
		{name: "service lost while a question has no answer", silentUntil: time.Minute, changes: []change{publish(time.Second, lose)}},
		{name: "service lost while a step runs", changes: []change{publish(500*time.Millisecond, lose)}},
		{name: "service lost and regained with a question in flight", silentUntil: 2 * time.Second, changes: []change{publish(300*time.Millisecond, lose), publish(700*time.Millisecond, gain)}, maxRefused: 1},
		{name: "service lost when a new holder reads the job", silentUntil: time.Minute, changes: []change{publish(time.Second, lose), newHolder(2 * time.Second)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.addEndpoint("e2")
			if test.before != nil {
				w.publish(test.before(w))
			}
			w.beginTerm()
			w.serviceSilentUntil = w.now + test.silentUntil
			w.after(maxConfigDelay, func() { w.submitSteps(jobID, "c2", time.Second, time.Second) })
			for _, c := range test.changes {
				w.after(maxConfigDelay+c.at, func() { c.do(w) })
			}
			w.run(15 * time.Second)
			w.requireAllEnded()
			if w.refusedPermits > test.maxRefused {
				t.Errorf("%d starts were refused for want of a permit, at most %d are expected", w.refusedPermits, test.maxRefused)
			}
		})
	}
}

// TestLatestStartFollowsQueue changes the objective of a queue, or removes the queue and
// adds it again, while a step waits. The step must be ranked as one that becomes ready
// under the last configuration, and not as late for good.
func TestLatestStartFollowsQueue(t *testing.T) {
	slower := func(q *catalog.Queue) { q.Objective = time.Minute }
	tests := []struct {
		name    string
		changes func(w *world) []func(*catalog.Catalog)
		// want is the latest end of the job.
		want time.Duration
	}{
		{name: "no change", want: 7 * time.Second},
		{name: "another objective", want: 64 * time.Second, changes: func(w *world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){w.changeQueue("bulk", slower)}
		}},
		{name: "ready while the queue is away", want: 7 * time.Second, changes: func(w *world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){removeQueue("bulk"), w.addQueue("bulk")}
		}},
		{name: "back with another objective", want: 64 * time.Second, changes: func(w *world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){removeQueue("bulk"), w.changeQueue("bulk", slower)}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.beginTerm()
			w.submitSteps("b000000000000001", "c2", time.Second)
			w.run(time.Second)
			var changes []func(*catalog.Catalog)
			if test.changes != nil {
				changes = test.changes(w)
			}
			for i, change := range changes {
				w.publish(change)
				w.run(time.Duration(i+2) * time.Second)
				if i == 0 && len(changes) > 1 {
					// Another holder reads the job while the queue is away.
					w.current().dead = true
					w.beginTerm()
				}
			}
			for _, e := range w.current().core.steps {
				// The job was accepted at simStart.
				if got := e.latestStart - simStart; got != test.want-time.Second {
					t.Errorf("the latest start is at %s, want %s", got, test.want-time.Second)
				}
				return
			}
			t.Error("no step waits")
		})
	}
}

// TestFailuresCountWhileQueueIsAway lets a task fail as often as its queue allows, the
// last time while the queue is not configured. Once the queue is back, the job must be
// shown as failed and its task must not start again, also by another holder.
func TestFailuresCountWhileQueueIsAway(t *testing.T) {
	attempts := func(n int) func(*catalog.Queue) { return func(q *catalog.Queue) { q.Attempts = n } }
	tests := []struct {
		name      string
		before    int
		after     int
		newHolder bool
		want      workload.State
	}{
		{name: "back as it was", before: 1, after: 1, want: workload.StateFailed},
		{name: "another holder reads the job", before: 1, after: 1, newHolder: true, want: workload.StateFailed},
		{name: "back with fewer attempts", before: 3, after: 1, want: workload.StateFailed},
		{name: "back with more attempts", before: 1, after: 3, want: workload.StateCompleted},
		{name: "back without a limit", before: 1, after: 0, want: workload.StateCompleted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const id = workload.ID("b000000000000001")
			w := newWorld(t, 1, faults{taskFailure: 1})
			w.addEndpoint("e1")
			w.publish(w.changeQueue("bulk", attempts(test.before)))
			w.beginTerm()
			w.run(maxConfigDelay)
			w.submitSteps(id, "c2", 2*time.Second)
			w.after(500*time.Millisecond, func() { w.publish(removeQueue("bulk")) })
			w.run(6 * time.Second)
			w.faults = faults{}
			if test.newHolder {
				w.current().dead = true
			}
			w.publish(w.changeQueue("bulk", attempts(test.after)))
			if test.newHolder {
				w.run(6*time.Second + maxConfigDelay)
				w.beginTerm()
			}
			w.run(16 * time.Second)
			if state, _ := w.current().core.Status(id, "c2"); state != test.want {
				t.Errorf("the job is %s, want %s", state, test.want)
			}
		})
	}
}

// TestPlannedStartNeedsPermitOfNewService gives a queue an eligibility service while
// starts wait for their record. They would be refused and must not be sent.
func TestPlannedStartNeedsPermitOfNewService(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %t", gang), func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.addEndpoint("e2")
			w.beginTerm()
			w.run(time.Second)
			core := w.current().core
			core.Submit(w.instant(), Submission{ID: "b000000000000001", Queue: "bulk", Customer: "c2", Accepted: simWall.Add(w.now), Spec: workload.Spec{
				Steps: []workload.Step{{Count: 2, Size: resource.Vector{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second, Gang: gang}},
			}}, func(SubmitResult) {})
			core.Plan(w.instant())
			batch := core.Seal()
			if len(batch.starts) != 2 {
				t.Fatalf("%d starts are planned, want 2", len(batch.starts))
			}
			w.publish(w.changeQueue("bulk", withService))
			core.SetCatalog(w.instant(), w.catalog)
			core.Committed(w.instant(), batch)
			for _, o := range core.TakeOrders() {
				if start, ok := o.(*StartOrder); ok {
					t.Errorf("%s is started without a permit", start.Key.Task)
				}
			}
			core.Plan(w.instant())
			questions := 0
			for _, o := range core.TakeOrders() {
				if _, ok := o.(*AskOrder); ok {
					questions++
				}
			}
			if questions == 0 {
				t.Error("no question is asked after that")
			}
		})
	}
}

// TestPriorityOfRunsFollowsQueue changes the priority of a queue while a task of it runs,
// and lets a new holder read the task while the queue is away. The end of an urgent run is
// noticed early only if the run is known to be urgent.
func TestPriorityOfRunsFollowsQueue(t *testing.T) {
	tests := []struct {
		name      string
		newHolder bool
		changes   func(w *world) []func(*catalog.Catalog)
		want      int
	}{
		{name: "another priority", want: 0, changes: func(w *world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){w.changeQueue("bulk", func(q *catalog.Queue) { q.Priority = 0 })}
		}},
		{name: "removed", want: 2, changes: func(*world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){removeQueue("bulk")}
		}},
		{name: "read while the queue is away", newHolder: true, want: 2, changes: func(w *world) []func(*catalog.Catalog) {
			return []func(*catalog.Catalog){removeQueue("bulk"), w.addQueue("bulk")}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addEndpoint("e1")
			w.beginTerm()
			w.submitSteps("b000000000000001", "c2", time.Minute)
			w.run(time.Second)
			for i, change := range test.changes(w) {
				w.publish(change)
				w.run(time.Duration(i+2) * time.Second)
				if test.newHolder && i == 0 {
					w.current().dead = true
					w.beginTerm()
				}
			}
			runs := w.current().core.fleet.Endpoint("e1").Runs()
			if len(runs) != 1 {
				t.Fatalf("%d tasks run, want 1", len(runs))
			}
			if got := runs[0].Priority; got != test.want {
				t.Errorf("the priority of the run is %d, want %d", got, test.want)
			}
		})
	}
}

// TestJobIsReachableAfterItsQueueOpensOrCloses changes whether a queue is open to all after
// it has accepted a job. Callers that the queue admits must find the job: its status is
// known, sending it again is no conflict, and it can be cancelled.
func TestJobIsReachableAfterItsQueueOpensOrCloses(t *testing.T) {
	open := func(yes bool) func(*catalog.Queue) { return func(q *catalog.Queue) { q.Open = yes } }
	tests := []struct {
		name             string
		openBefore       bool
		openAfter        bool
		customer, caller string
		want             bool
	}{
		{name: "own job", customer: "c1", caller: "c1", want: true},
		{name: "job of another customer", customer: "c1", caller: "c2"},
		{name: "caller of another queue, which is open", customer: "c1", caller: ""},
		{name: "opened", openAfter: true, customer: "c1", caller: "", want: true},
		{name: "opened, caller of another queue", openAfter: true, customer: "c1", caller: "c2"},
		{name: "open", openBefore: true, openAfter: true, customer: "", caller: "", want: true},
		{name: "closed", openBefore: true, customer: "", caller: "c1", want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const id = "b000000000000001"
			w := newWorld(t, 1, faults{})
			w.publish(w.changeQueue("bulk", open(test.openBefore)))
			w.replaced = nil
			w.beginTerm()
			w.submitSteps(id, test.customer, time.Second)
			w.run(time.Second)
			w.publish(w.changeQueue("bulk", open(test.openAfter)))
			w.run(time.Second + maxConfigDelay)
			core := w.current().core
			if _, known := core.Status(id, test.caller); known != test.want {
				t.Errorf("the job is known: %t, want %t", known, test.want)
			}
			again := Submission{ID: id, Queue: "bulk", Customer: test.caller, Accepted: simWall.Add(w.now), Spec: w.jobs[id].spec}
			core.Submit(w.instant(), again, func(r SubmitResult) {
				if accepted := r.Problem == nil; accepted != test.want {
					t.Errorf("sent again, the job is accepted: %t, want %t", accepted, test.want)
				}
			})
			core.Cancel(w.instant(), id, test.caller, func(found bool) {
				if found != test.want {
					t.Errorf("the job to cancel is found: %t, want %t", found, test.want)
				}
			})
			w.flush(w.current())
			w.run(2 * time.Second)
		})
	}
}

// TestJobOfRemovedCustomerIsRefused submits jobs that another daemon has admitted under an
// older configuration than the holder's. What can't run must be refused at once: without
// its customer a job has no limit to run within, and would wait for good.
func TestJobOfRemovedCustomerIsRefused(t *testing.T) {
	tests := []struct {
		name     string
		customer string
		change   func(w *world) func(*catalog.Catalog)
		want     problem.Code
	}{
		{name: "customer in force", customer: "c1"},
		{name: "customer removed", customer: "c1", want: problem.KeyRefused, change: func(*world) func(*catalog.Catalog) {
			return func(c *catalog.Catalog) { delete(c.Customers, "c1") }
		}},
		{name: "queue removed", customer: "c1", want: problem.UnknownQueue, change: func(*world) func(*catalog.Catalog) { return removeQueue("bulk") }},
		{name: "queue needs a key", want: problem.KeyRefused},
		{name: "queue is open", change: func(w *world) func(*catalog.Catalog) {
			return w.changeQueue("bulk", func(q *catalog.Queue) { q.Open = true })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.beginTerm()
			if test.change != nil {
				w.publish(test.change(w))
				w.run(maxConfigDelay)
			}
			var got *SubmitResult
			job := Submission{ID: "b000000000000001", Queue: "bulk", Customer: test.customer, Accepted: simWall.Add(w.now), Spec: largeJob(1)}
			w.current().core.Submit(w.instant(), job, func(r SubmitResult) { got = &r })
			w.flush(w.current())
			w.run(maxConfigDelay + time.Second)
			switch {
			case got == nil:
				t.Error("there is no answer")
			case test.want == "" && got.Problem != nil, test.want != "" && (got.Problem == nil || got.Problem.Code != test.want || got.Problem.Verdict != problem.NotRun):
				t.Errorf("the answer is %v, want %q", got.Problem, test.want)
			}
		})
	}
}
