package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// largeJob returns a job with a payload of n bytes.
func largeJob(n int) workload.Spec {
	return workload.Spec{Payload: strings.Repeat("x", n), Steps: []workload.Step{{
		Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second,
	}}}
}

// TestAppendSizeIsBounded submits more large jobs at once than fit into one
// append. The excess must be refused with a retry delay and be accepted later.
func TestAppendSizeIsBounded(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	const (
		bytes = 250_000
		jobs  = 12
	)
	core := w.current().core
	accepted, refused := 0, 0
	for i := range jobs {
		id := workload.ID("b" + strings.Repeat("0", 13) + string(rune('a'+i/10)) + string(rune('0'+i%10)))
		core.Submit(w.instant(), Submission{ID: id, Queue: "bulk", Customer: "c2", Accepted: simWall.Add(w.now), Spec: largeJob(bytes)}, func(r SubmitResult) {
			if r.Problem == nil {
				accepted++
				return
			}
			refused++
			if r.Problem.Verdict != problem.NotRun || r.Problem.RetryAfter <= 0 {
				t.Errorf("%v lacks the verdict NotRun or a retry delay", r.Problem)
			}
		})
	}
	batch := core.Seal()
	size := 0
	for _, r := range batch.Records {
		size += len(r.Key) + len(r.Value)
	}
	const callBytes = 2 << 20
	if size > callBytes {
		t.Errorf("one append has %d bytes, a call takes %d", size, callBytes)
	}
	core.Committed(w.instant(), batch)
	if accepted == 0 || refused == 0 || accepted+refused != jobs {
		t.Errorf("%d jobs accepted and %d refused of %d", accepted, refused, jobs)
	}
	core.Submit(w.instant(), Submission{ID: "b0000000000000ff", Queue: "bulk", Customer: "c2", Accepted: simWall.Add(w.now), Spec: largeJob(bytes)}, func(r SubmitResult) {
		if r.Problem != nil {
			t.Errorf("refused with an empty batch: %v", r.Problem)
		}
	})
}

// TestSubmitRefuses checks the code of each refusal, and the retry delay of a
// customer beyond its rate.
func TestSubmitRefuses(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addEndpoint("e1")
	w.beginTerm()
	core := w.current().core
	submit := func(id workload.ID, queue, customer string) *problem.Problem {
		var got *problem.Problem
		core.Submit(w.instant(), Submission{ID: id, Queue: queue, Customer: customer, Accepted: simWall.Add(w.now), Spec: largeJob(10)}, func(r SubmitResult) { got = r.Problem })
		return got
	}
	if p := submit("b000000000000001", "no such", "c1"); p == nil || p.Code != problem.UnknownQueue {
		t.Errorf("unknown queue: got %v", p)
	}
	if p := submit("b000000000000002", "bulk", "c1"); p != nil {
		t.Errorf("good job: got %v", p)
	}
	if p := submit("b000000000000002", "bulk", "c2"); p == nil || p.Code != problem.TicketConflict {
		t.Errorf("id of another customer: got %v", p)
	}
	var last *problem.Problem
	for i := range 2000 {
		last = submit(workload.ID("b"+strings.Repeat("1", 11)+string([]byte{byte('0' + i/1000), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)})), "bulk", "c2")
		if last != nil {
			break
		}
		core.Committed(w.instant(), core.Seal())
	}
	if last == nil || last.Code != problem.QueueFull || last.RetryAfter <= 0 {
		t.Errorf("a customer beyond its rate: got %v", last)
	}
}

// TestWaitingCountsJobsThatNeverBegan orders the tasks of jobs on endpoints that don't answer
// any more. No task of theirs has begun, so that the jobs still wait, also for the next
// holder.
func TestWaitingCountsJobsThatNeverBegan(t *testing.T) {
	w := newWorld(t, 1, faults{})
	addEndpoints(w)
	w.beginTerm()
	w.run(300 * time.Millisecond)
	for _, e := range w.endpoints {
		e.disconnected = true
	}
	const jobs = 5
	for i := range jobs {
		w.submit(workload.ID(fmt.Sprintf("b%015x", i)), "c2", largeJob(10))
	}
	// Their leases lapse within 7 s.
	for _, at := range []time.Duration{time.Second, 5 * time.Second, 12 * time.Second} {
		w.run(at)
		core := w.current().core
		if starts := core.Stats().Starts; starts < jobs {
			t.Fatalf("%d runs of %d jobs were ordered", starts, jobs)
		}
		if n := core.Waiting("bulk"); n != jobs {
			t.Errorf("after %s %d of %d jobs wait", at, n, jobs)
		}
		if state, _ := core.Status("b000000000000000", "c2"); state != workload.StateQueued {
			t.Errorf("after %s a job is %s that has not begun", at, state)
		}
	}
	w.beginTerm()
	if n := w.current().core.Waiting("bulk"); n != jobs {
		t.Errorf("after a change of the holder %d of %d jobs wait", n, jobs)
	}
	for _, e := range w.endpoints {
		e.disconnected = false
	}
	w.run(30 * time.Second)
	if n := w.current().core.Waiting("bulk"); n != 0 {
		t.Errorf("%d jobs wait after all have run", n)
	}
}
