package placement

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func ink() Team { return Team{Name: "ink", Weight: 1, MaxRunning: 1000} }

func TestGangStartsDespiteManySmallTasks(t *testing.T) {
	d := newDriver(t, 4, ink())
	submitSmall := func(n int) {
		d.submit(Work{ID: fmt.Sprintf("small%d", n), Team: "ink", Queue: "cost", Class: ClassBatch, Priority: 9, Size: oneCore()}, 2, time.Duration(6+n%5)*time.Second)
	}
	for n := range 30 {
		submitSmall(n)
	}
	gang := Work{ID: "gang", Team: "ink", Queue: "match", Class: ClassBatch, Gang: true, Size: Resources{MilliCores: 4000, MemoryMB: 1000}}
	d.submit(gang, 4, 10*time.Second)
	for n := 30; n < 200; n++ {
		submitSmall(n)
		d.step()
	}
	at, ok := d.started["gang-0"]
	if !ok || at > 30*time.Second {
		t.Fatalf("gang started at %v (%v), want within 30s: the tasks in its way run for 10s", at, ok)
	}
}

func TestTwoGangsDoNotBlockEachOther(t *testing.T) {
	d := newDriver(t, 4, ink())
	d.submit(Work{ID: "small", Team: "ink", Class: ClassBatch, Size: oneCore()}, 16, 20*time.Second)
	d.step()
	for _, id := range []string{"a", "b"} {
		d.submit(Work{ID: id, Team: "ink", Class: ClassBatch, Gang: true, Size: Resources{MilliCores: 4000}}, 3, 10*time.Second)
	}
	d.steps(60)
	for _, task := range []string{"a-0", "b-0"} {
		if _, ok := d.started[task]; !ok {
			t.Errorf("%s did not start within 60s", task)
		}
	}
}

// TestBackfillDoesNotDelayTheReservation compares the start of a gang with and
// without preemptible tasks that declare a run time that is far too short.
func TestBackfillDoesNotDelayTheReservation(t *testing.T) {
	start := func(overruns int) (time.Duration, int) {
		d := newDriver(t, 2, ink())
		d.submit(Work{ID: "long", Team: "ink", Queue: "long", Class: ClassBatch, Size: Resources{MilliCores: 3000}, RunTime: 60 * time.Second}, 2, 60*time.Second)
		d.step()
		d.submit(Work{ID: "gang", Team: "ink", Queue: "gang", Class: ClassBatch, Gang: true, Size: Resources{MilliCores: 4000}}, 2, 10*time.Second)
		d.steps(5)
		d.submit(Work{
			ID: "overrun", Team: "ink", Queue: "overrun", Class: ClassBatch, Size: oneCore(),
			Idempotent: true, Preemptible: true, RunTime: 5 * time.Second,
		}, overruns, time.Hour)
		d.steps(80)
		backfilled := 0
		for i := range overruns {
			if at, ok := d.started[fmt.Sprintf("overrun-%d", i)]; ok && at < 50*time.Second {
				backfilled++
			}
		}
		return d.started["gang-0"], backfilled
	}
	alone, _ := start(0)
	behind, backfilled := start(4)
	if backfilled == 0 {
		t.Fatal("no task was backfilled")
	}
	// Backfilled tasks are preempted only once per housekeepInterval.
	if alone == 0 || behind == 0 || behind > alone+2*housekeepInterval {
		t.Fatalf("gang starts at %v without backfill and at %v with it", alone, behind)
	}
}

// TestStarvationBound checks that the oldest work of a team starts within the
// bound given in docs/design/placement.md while work of higher priority keeps
// arriving.
func TestStarvationBound(t *testing.T) {
	const run = 20 * time.Second
	d := newDriver(t, 3, ink(), Team{Name: "linen", Weight: 1, MaxRunning: 1000})
	d.submit(Work{ID: "first", Team: "ink", Queue: "flood", Class: ClassService, Size: oneCore(), RunTime: run}, 12, run)
	d.step()
	d.submit(Work{ID: "big", Team: "linen", Queue: "big", Class: ClassBatch, Size: Resources{MilliCores: 4000, MemoryMB: 8000}}, 1, run)
	d.submit(Work{ID: "small", Team: "linen", Queue: "small", Class: ClassBatch, Size: oneCore()}, 1, run)
	d.submit(Work{ID: "gang", Team: "linen", Queue: "gang", Class: ClassBatch, Gang: true, Size: Resources{MilliCores: 3000}}, 3, run)
	policy := DefaultPolicy()
	bound := policy.StarveAfter + 3*(policy.PromoteInterval+policy.ReservationTimeout)
	for n := 0; d.now <= bound; n++ {
		for _, team := range []string{"ink", "linen"} {
			d.submit(Work{
				ID: fmt.Sprintf("%s%d", team, n), Team: team, Queue: "flood", Class: ClassService, Priority: 5, Size: oneCore(), RunTime: run,
			}, 3, run)
		}
		d.step()
	}
	for _, task := range []string{"big-0", "small-0", "gang-0"} {
		if at, ok := d.started[task]; !ok {
			t.Errorf("%s did not start within %v", task, bound)
		} else {
			t.Logf("%s started at %v", task, at)
		}
	}
}

func TestUrgentPreemptsTaskWithLeastWorkDone(t *testing.T) {
	d := newDriver(t, 1, ink())
	batch := Work{Team: "ink", Class: ClassBatch, Size: oneCore(), Idempotent: true, Preemptible: true}
	for i, id := range []string{"old", "once", "fixed", "young"} {
		w := batch
		w.ID = id
		w.Idempotent = id != "once"
		w.Preemptible = id != "fixed"
		d.submit(w, 1, time.Hour)
		d.steps(i + 1)
	}
	d.submit(Work{ID: "u", Team: "ink", Class: ClassUrgent, Size: oneCore()}, 2, time.Second)
	d.submit(Work{ID: "v", Team: "ink", Class: ClassUrgent, Size: oneCore()}, 2, time.Hour)
	d.steps(10)
	if len(d.stopped) < 2 || d.stopped[0] != "young-0" || d.stopped[1] != "old-0" {
		t.Fatalf("stopped %v, want young before old", d.stopped)
	}
	for _, id := range d.stopped {
		if id == "once-0" || id == "fixed-0" {
			t.Errorf("%s was stopped", id)
		}
	}
}

// runSequentially submits single tasks one after another, ends each at once with
// the result that result returns for its endpoint, and returns the number of
// starts per endpoint.
func runSequentially(d *driver, count int, queue string, result func(endpoint string) Result) map[string]int {
	started := map[string]int{}
	for n := range count {
		id := fmt.Sprintf("%s%d", queue, n)
		d.engine.Submit(Work{ID: id, Team: "ink", Queue: queue, Class: ClassBatch, Size: oneCore(), Tasks: []string{id}})
		for _, x := range d.engine.Schedule(d.now, 10) {
			started[x.Endpoint]++
			d.engine.Finish(x.Task, d.now, result(x.Endpoint))
		}
		d.now += 50 * time.Millisecond
	}
	return started
}

func always(r Result) func(string) Result { return func(string) Result { return r } }

func TestFailingEndpointIsQuarantined(t *testing.T) {
	d := newDriver(t, 8, ink())
	d.engine.SetAvailable("w0", false)
	runSequentially(d, 100, "match", always(ResultDone))
	for i := 1; i < 8; i++ {
		d.engine.SetAvailable(fmt.Sprintf("w%d", i), false)
	}
	d.engine.SetAvailable("w0", true)
	if got := runSequentially(d, 100, "match", always(ResultFailed)); got["w0"] < 2 || got["w0"] > 5 {
		t.Fatalf("the failing endpoint got %d tasks, want a few", got["w0"])
	}
}

func TestBrokenJobQuarantinesNoEndpoint(t *testing.T) {
	d := newDriver(t, 8, ink())
	runSequentially(d, 100, "match", always(ResultDone))
	if got := runSequentially(d, 400, "broken", always(ResultFailed)); len(d.engine.(*engine).quarantined) > 0 {
		t.Fatalf("a job that fails everywhere put endpoints in quarantine; starts: %v", got)
	}
}

func TestQuarantineEndsWithProbation(t *testing.T) {
	d := newDriver(t, 2, ink())
	e := d.engine.(*engine)
	ep := e.endpoints.byID["w0"]
	e.quarantine(ep, 0)
	e.SetAvailable("w1", false)
	d.submit(Work{ID: "w", Team: "ink", Class: ClassBatch, Size: oneCore()}, 8, 2*time.Second)
	d.steps(30)
	if len(d.started) != 0 {
		t.Fatal("an endpoint in quarantine got a task")
	}
	d.step()
	d.step()
	if len(d.started) != 1 {
		t.Fatalf("%d tasks on probation, want 1", len(d.started))
	}
	d.steps(20)
	if len(d.started) != 8 {
		t.Fatalf("%d tasks started after the release, want 8", len(d.started))
	}
}

func TestEffectiveSizeIsNeverBelowDeclaredSize(t *testing.T) {
	d := newDriver(t, 1, ink())
	w := Work{Team: "ink", Queue: "cost", Class: ClassBatch, Size: oneCore()}
	use := func(cores int64, from int) {
		for n := from; n < from+2*minQuantileSamples; n++ {
			w.ID = fmt.Sprint(n)
			w.Tasks = []string{w.ID}
			d.engine.Submit(w)
			d.engine.Schedule(d.now, 10)
			d.engine.ReportUsage(w.ID, Resources{MilliCores: cores, MemoryMB: 100})
			d.engine.Finish(w.ID, d.now+time.Second, ResultDone)
		}
	}
	fitting := func() int {
		w.ID = "probe" + d.now.String()
		w.Tasks = nil
		d.submit(w, 8, time.Hour)
		n := len(d.step())
		d.engine.Cancel(w.ID)
		for id := range d.ends {
			d.engine.Finish(id, d.now, ResultStopped)
			delete(d.ends, id)
		}
		return n
	}
	use(100, 0)
	if n := fitting(); n != 4 {
		t.Errorf("%d tasks fit after less than the declared size was used, want 4", n)
	}
	use(1900, 1000)
	if n := fitting(); n != 2 {
		t.Errorf("%d tasks fit after twice the size was used, want 2", n)
	}
}

func TestServicesSpreadOverRacks(t *testing.T) {
	d := newDriver(t, 6, ink())
	d.submit(Work{ID: "s", Team: "ink", Class: ClassService, Spread: true, Size: oneCore()}, 6, time.Hour)
	d.step()
	racks := map[string]int{}
	for _, ep := range d.placedOn {
		racks[d.engine.(*engine).endpoints.byID[ep].Rack]++
	}
	if racks["r0"] != 2 || racks["r1"] != 2 || racks["r2"] != 2 {
		t.Fatalf("tasks per rack = %v, want 2 each", racks)
	}
}

func TestAcceleratorEndpointsAreAvoided(t *testing.T) {
	d := newDriver(t, 1, ink())
	fast := worker("a0")
	fast.Capacity.Accelerators = 1
	d.engine.SetEndpoint(fast)
	d.engine.Adopt(RunningTask{Task: "train", Endpoint: "a0", Team: "ink", Size: Resources{MilliCores: 1000, Accelerators: 1}})
	d.submit(Work{ID: "plain", Team: "ink", Class: ClassBatch, Size: oneCore()}, 4, time.Hour)
	d.step()
	for task, ep := range d.placedOn {
		if ep == "a0" {
			t.Errorf("%s was placed on an endpoint with an accelerator while w0 was empty", task)
		}
	}
}

func TestAcceleratorEndpointsAreAvoidedAmongMany(t *testing.T) {
	d := newDriver(t, 0, ink())
	for i := range 2 * maxScoredEndpoints {
		fast := worker(fmt.Sprintf("a%02d", i))
		fast.Capacity.Accelerators = 1
		d.engine.SetEndpoint(fast)
	}
	d.engine.SetEndpoint(worker("z0"))
	d.submit(Work{ID: "plain", Team: "ink", Class: ClassBatch, Size: oneCore()}, 5, time.Hour)
	d.step()
	kept := 0
	for _, ep := range d.placedOn {
		if ep == "z0" {
			kept++
		}
	}
	if kept != 4 || len(d.placedOn) != 5 {
		t.Fatalf("tasks were placed on %v, want 4 on z0 and the fifth on an endpoint with an accelerator", d.placedOn)
	}
}

func TestCancelRemovesAllWaitingTasks(t *testing.T) {
	d := newDriver(t, 1, ink())
	d.submit(Work{ID: "many", Team: "ink", Class: ClassBatch, Size: oneCore()}, 10000, time.Hour)
	d.step()
	if got := len(d.engine.Cancel("many")); got != 9996 || d.engine.WaitingTasks("ink") != 0 || d.engine.RunningTasks("ink") != 4 {
		t.Fatalf("cancelled %d, %d wait, %d run; want 9996, 0, 4", got, d.engine.WaitingTasks("ink"), d.engine.RunningTasks("ink"))
	}
}

func TestFairShareIgnoresUsageOfIdleCapacity(t *testing.T) {
	d := newDriver(t, 10, Team{Name: "hotel", Weight: 3, MaxRunning: 1000}, Team{Name: "kitchen", Weight: 1, MaxRunning: 1000})
	offer := func(team string) {
		d.submit(Work{ID: fmt.Sprintf("%s%v", team, d.now), Team: team, Class: ClassBatch, Size: oneCore()}, 8, 7*time.Second)
	}
	// The kitchen uses the otherwise idle zone alone for an hour.
	for range 3600 {
		d.submit(Work{ID: fmt.Sprintf("k%v", d.now), Team: "kitchen", Class: ClassBatch, Size: oneCore()}, 4, 7*time.Second)
		d.step()
	}
	hotel, kitchen := 0, 0
	for range 600 {
		offer("hotel")
		offer("kitchen")
		d.step()
		hotel += d.engine.RunningTasks("hotel")
		kitchen += d.engine.RunningTasks("kitchen")
	}
	part := float64(hotel) / float64(hotel+kitchen)
	if math.Abs(part-0.75) > 0.05*0.75 {
		t.Fatalf("the hotel had %.3f of the zone over 10 minutes, want 0.75 within 5%%", part)
	}
}

func TestMoreWorkKindsThanBuckets(t *testing.T) {
	d := newDriver(t, 4, ink())
	const kinds = 5 * maxBuckets
	for n := range kinds {
		size := Resources{MilliCores: int64(10 + n), MemoryMB: 1}
		d.submit(Work{ID: fmt.Sprint(n), Team: "ink", Class: ClassBatch, Size: size}, 1, time.Second)
	}
	d.steps(30)
	if len(d.started) != kinds {
		t.Fatalf("%d of %d kinds of work started", len(d.started), kinds)
	}
}

func TestMixedBucketContinuesAfterCancelledHead(t *testing.T) {
	d := newDriver(t, 1, ink())
	for n := range maxBuckets {
		d.submit(Work{ID: fmt.Sprint(n), Team: "ink", Class: ClassBatch, Priority: 1, Size: Resources{MilliCores: int64(5000 + n)}}, 1, time.Second)
	}
	d.submit(Work{ID: "huge", Team: "ink", Class: ClassBatch, Size: Resources{MilliCores: 9000}}, 1, time.Second)
	d.submit(Work{ID: "tiny", Team: "ink", Class: ClassBatch, Size: oneCore()}, 1, time.Second)
	d.steps(2)
	if len(d.started) != 0 {
		t.Fatalf("started %v before the head of the mixed bucket", d.started)
	}
	d.engine.Cancel("huge")
	d.step()
	if _, ok := d.started["tiny-0"]; !ok {
		t.Fatal("the next work did not start after the head was cancelled")
	}
}

func TestReaddedEndpointIsChargedForItsTasks(t *testing.T) {
	d := newDriver(t, 1, ink())
	d.submit(Work{ID: "a", Team: "ink", Class: ClassBatch, Size: oneCore()}, 3, time.Hour)
	d.step()
	d.engine.RemoveEndpoint("w0")
	d.submit(Work{ID: "b", Team: "ink", Class: ClassBatch, Size: oneCore()}, 3, time.Hour)
	if got := d.step(); len(got) != 0 || d.engine.RunningTasks("ink") != 3 {
		t.Fatalf("decisions without an endpoint: %v", got)
	}
	d.engine.SetEndpoint(worker("w0"))
	if got := d.step(); len(got) != 1 {
		t.Fatalf("%d tasks started next to the 3 that still run, want 1", len(got))
	}
}
