package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/estimate"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// learnsFrom has a customer submit jobs of one task or one gang for a minute, and returns the
// factor between the expected and the stated run time afterwards. Endpoints take 0.5 to 2
// times the stated one, 1.25 times on average.
func learnsFrom(w *world, prefix string, step workload.Step) float64 {
	w.params.Features.Estimates = true
	addEndpoints(w)
	w.beginTerm()
	for i := range 120 {
		w.after(time.Duration(i)*500*time.Millisecond, func() {
			w.submit(workload.ID(fmt.Sprintf("%s%015x", prefix, i)), "c2", workload.Spec{Steps: []workload.Step{step}})
		})
	}
	w.run(70 * time.Second)
	w.requireAllEnded()
	return expectedFactor(w, prefix, step)
}

func expectedFactor(w *world, prefix string, step workload.Step) float64 {
	queue := w.queueOf(workload.ID(prefix + "000000000000000"))
	got := w.current().core.expectedRunTime(&workload.Job{Queue: queue, Customer: "c2"}, &step)
	return float64(got) / float64(step.Estimate)
}

// TestRunTimesAreLearned has single tasks and gangs whose stated run times are right but for
// noise. Neither ends that are reported late, nor the time that a gang's members wait for each
// other, may make them seem longer.
func TestRunTimesAreLearned(t *testing.T) {
	single := workload.Step{Count: 1, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 2 * time.Second}
	gang := single
	gang.Count, gang.Gang = 4, true
	for prefix, step := range map[string]workload.Step{"b": single, "c": gang} {
		t.Run(prefix, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			if got := learnsFrom(w, prefix, step); got < 0.95 || got > 1.5 {
				t.Errorf("expected to take %.2f times what is stated, endpoints take 1.25 times", got)
			}
			// A new holder knows nothing and takes run times as stated.
			w.beginTerm()
			if got := expectedFactor(w, prefix, step); got != 1 {
				t.Errorf("a new holder expects %.2f times what is stated", got)
			}
		})
	}
}

// TestRunTimesAreForgotten removes a queue of which run times were learned: nothing is kept of
// it, and a run of it that ends later adds nothing.
func TestRunTimesAreForgotten(t *testing.T) {
	w := newWorld(t, 1, faults{})
	learnsFrom(w, "b", workload.Step{Count: 1, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: time.Second})
	core := w.current().core
	if queues, customers := core.runTimes.Size(); queues != 1 || customers != 1 {
		t.Errorf("%d queues and %d customers were learned, want one of each", queues, customers)
	}
	w.submit("b100000000000000", "c2", workload.Spec{Steps: []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: 4 * time.Second}}})
	w.run(71 * time.Second)
	w.publish(removeQueue("bulk"))
	w.run(90 * time.Second)
	if queues, customers := core.runTimes.Size(); queues != 0 || customers != 0 {
		t.Errorf("%d queues and %d customers are kept", queues, customers)
	}
}

// TestLatestStartFollowsWhatIsExpected has a caller state four times what its tasks take. A
// step may begin late by less than what is stated suggests.
func TestLatestStartFollowsWhatIsExpected(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.params.Features.Estimates = true
	addEndpoints(w)
	w.beginTerm()
	core := w.current().core
	const stated = 8 * time.Second
	start := func(id workload.ID) time.Duration {
		w.submit(id, "c2", workload.Spec{Steps: []workload.Step{{Count: 1, Size: resource.Vector{MilliCores: 2000, MemoryMB: 100}, Estimate: stated}}})
		for _, e := range core.steps {
			if e.jobEntry.job.ID == id {
				return e.latestStart - w.now
			}
		}
		t.Fatalf("job %s has no step", id)
		return 0
	}
	q := core.catalog.Queue("bulk")
	slackOf := func(runTime time.Duration) time.Duration { return objectiveOf(q, runTime) - runTime }
	if got := start("b000000000000001"); got != slackOf(stated) {
		t.Errorf("without outcomes the step may wait %s, want %s", got, slackOf(stated))
	}
	for range 200 {
		core.runTimes.Observe(estimate.Key{Queue: "bulk", Customer: "c2"}, stated, stated/4, 1)
	}
	if got := start("b000000000000002"); got < slackOf(stated/4) || got > slackOf(stated*3/10) {
		t.Errorf("the step may wait %s, tasks take a quarter of what is stated", got)
	}
}
