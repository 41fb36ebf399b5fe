package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/scheduler"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"pgregory.net/rapid"
)

// evacuatedZones returns the zones that are being emptied.
func (w *world) evacuatedZones() evacuation.Zones {
	zones := make(evacuation.Zones)
	for zone := range w.evacuated {
		zones[zone] = true
	}
	return zones
}

// evacuate asks to empty a zone, or takes the request back. The running terms read it a
// little later.
func (w *world) evacuate(zone string, requested bool) {
	if w.evacuated == nil {
		w.evacuated = make(map[string]time.Duration)
	}
	if _, already := w.evacuated[zone]; requested && !already {
		w.evacuated[zone] = w.now
	} else if !requested {
		delete(w.evacuated, zone)
	}
	for _, t := range w.terms {
		w.after(w.between(time.Millisecond, maxConfigDelay), func() {
			if !t.dead {
				w.whenResumed(t, func() {
					t.core.SetEvacuations(w.evacuatedZones())
					w.flush(t)
				})
			}
		})
	}
}

// checkZone checks that nothing starts in a zone once the holder knows that it is being
// emptied, but for orders that are executed late without an answer.
func (w *world) checkZone(e *simEndpoint, r *simRun) {
	since, closed := w.evacuated[e.zone]
	if closed && !w.lateOrder && w.now > since+maxConfigDelay+orderTimeout {
		w.violation("EVAC", "%s run %d starts on %s, %s after the request to empty %s", r.key.Task, r.key.Number, e.id, w.now-since, e.zone)
	}
}

// newZonedWorld returns a world with endpoints in zones that take turns, and a term.
func newZonedWorld(t rapid.TB, seed uint64, f faults, endpoints, zones int) *world {
	w := newWorld(t, seed, f)
	w.params.Features.Evacuation = true
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		w.addEndpoint(id)
		w.endpoints[id].zone = fmt.Sprintf("z%d", i%zones)
		w.register(w.endpoints[id])
	}
	w.beginTerm()
	return w
}

// countStarts returns how many starts the term has ordered.
func (w *world) countStarts() int64 { return w.current().core.Stats().Starts }

// gangOf returns a job of one gang.
func gangOf(n int, cores int64) workload.Spec {
	return workload.Spec{Steps: []workload.Step{{
		Count: n, Size: resource.Vector{MilliCores: cores * 1000, MemoryMB: 10}, Estimate: time.Second, Gang: true,
	}}}
}

// TestNothingStartsInZonesBeingEmptied empties zones, also several at a time, and takes
// that back, while orders are lost, unanswered or late, endpoints restart and the holder
// changes. Nothing starts there, and all jobs end once the zones are back.
func TestNothingStartsInZonesBeingEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newZonedWorld(t, rapid.Uint64().Draw(t, "seed"), faults{
			lost:       rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lost"),
			unanswered: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "unanswered"),
			delayed:    rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "delayed"),
		}, 8, 4)
		w.submitTraffic(6)
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			at := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * time.Millisecond
			length := time.Duration(rapid.IntRange(1, 15_000).Draw(t, "length")) * time.Millisecond
			id := fmt.Sprintf("e%02d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
			switch rapid.SampledFrom([]string{"evacuate", "evacuate", "crash", "holder"}).Draw(t, "kind") {
			case "evacuate":
				zone := w.endpoints[id].zone
				w.after(at, func() { w.evacuate(zone, true) })
				w.after(at+length, func() { w.evacuate(zone, false) })
			case "crash":
				w.after(at, func() {
					if e := w.endpoints[id]; e.up {
						w.crash(e, length)
					}
				})
			default:
				w.after(at, w.replaceHolder)
			}
		}
		w.after(40*time.Second, func() { w.faults = faults{} })
		w.run(120 * time.Second)
		w.requireAllEnded()
	})
}

// TestWorkInZoneBeingEmptiedGoesOn guards against runs that are stopped, or given up,
// because their zone is being emptied, also by the next holder.
func TestWorkInZoneBeingEmptiedGoesOn(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 2, 2)
	w.run(time.Second)
	job := largeJob(10)
	job.Steps[0].Count, job.Steps[0].Estimate = 20, 8*time.Second
	w.submit("b000000000000001", "c2", job)
	w.run(2 * time.Second)
	before := len(w.endpoints["e00"].running)
	if before == 0 {
		t.Fatal("nothing runs in the zone")
	}
	w.evacuate("z0", true)
	w.run(3 * time.Second)
	if n := w.current().core.Stats().InEvacuated; n != before {
		t.Errorf("%d runs are counted in the zone, want %d", n, before)
	}
	w.beginTerm()
	w.run(4 * time.Second)
	if now := len(w.endpoints["e00"].running); now != before {
		t.Errorf("%d runs go on in the zone, want %d", now, before)
	}
	w.run(40 * time.Second)
	for key := range w.jobs["b000000000000001"].done {
		if later := w.jobs["b000000000000001"].restarted[key]; later != 0 {
			t.Errorf("%s was started again", key)
		}
	}
	if s := w.current().core.Stats(); s.Stops != 0 {
		t.Errorf("%d runs were stopped", s.Stops)
	}
	w.requireAllEnded()
}

// TestGangWithdrawnFromZoneWaitsWhole guards against a gang of which a part starts although
// the zone of another part is being emptied before its record is in the log, and against
// members that are not placed again.
func TestGangWithdrawnFromZoneWaitsWhole(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 4, 2)
	w.catalog.Queues[2].Eligibility = nil
	w.run(time.Second)
	core := w.current().core
	w.submit("c000000000000001", "c2", gangOf(4, 20))
	for at := time.Second; core.Stats().Running == 0 && at < 2*time.Second; at += time.Millisecond {
		w.run(at)
	}
	if core.Stats().Running != 4 || w.countStarts() != 0 {
		t.Fatalf("%d runs are placed, %d ordered; want 4 that wait for their records", core.Stats().Running, w.countStarts())
	}
	core.SetEvacuations(evacuation.Zones{"z1": true})
	w.evacuated = map[string]time.Duration{"z1": w.now}
	w.run(3 * time.Second)
	if n := w.countStarts(); n != 0 {
		t.Errorf("%d members were started without the others", n)
	}
	if n := core.Stats().Waiting; n != 4 {
		t.Errorf("%d members wait, want all 4", n)
	}
	w.evacuate("z1", false)
	w.run(20 * time.Second)
	w.requireAllEnded()
	if w.endedAlone > 0 {
		t.Errorf("%d members ended alone", w.endedAlone)
	}
}

// TestUnansweredGangStartIsNotRepeatedInZone guards against the second order for a member
// of a gang, which would begin it in a zone that is being emptied.
func TestUnansweredGangStartIsNotRepeatedInZone(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 2, 2)
	w.catalog.Queues[2].Eligibility = nil
	w.run(time.Second)
	w.faults.lost = 1
	w.submit("c000000000000001", "c2", gangOf(2, 30))
	w.run(1200 * time.Millisecond)
	if n := w.countStarts(); n != 2 {
		t.Fatalf("%d members are ordered, want 2", n)
	}
	w.current().core.SetEvacuations(evacuation.Zones{"z0": true, "z1": true})
	w.run(10 * time.Second)
	if n := w.countStarts(); n != 2 {
		t.Errorf("%d orders to start the gang, want no more than the first 2", n)
	}
}

// TestNewHolderKnowsZonesBeingEmptied guards against a term that begins in the middle of an
// evacuation and fills the zone, the emptiest one, with what waits.
func TestNewHolderKnowsZonesBeingEmptied(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 2, 2)
	w.evacuate("z0", true)
	w.run(time.Second)
	w.beginTerm()
	job := largeJob(10)
	job.Steps[0].Count = 100
	w.submit("b000000000000001", "c2", job)
	w.run(3 * time.Second)
	if n := len(w.endpoints["e00"].running); n != 0 {
		t.Errorf("%d runs in the zone", n)
	}
	if len(w.endpoints["e01"].running) == 0 {
		t.Error("nothing runs elsewhere")
	}
	w.evacuate("z0", false)
	w.run(5 * time.Second)
	if len(w.endpoints["e00"].running) == 0 {
		t.Error("nothing runs in the zone after it was taken back")
	}
}

// keptSlots returns the number of slots that a snapshot keeps free for urgent work.
func keptSlots(s *scheduler.Snapshot) int {
	n := 0
	for i := range s.Policy.Headrooms {
		n += s.Policy.Headrooms[i].Slots
	}
	return n
}

// TestZoneBeingEmptiedOffersNothing guards against plans, questions, headroom and a door
// that reckon with endpoints on which nothing may start: gangs would be placed there again
// and again, and jobs taken in that have no room.
func TestZoneBeingEmptiedOffersNothing(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 4, 2)
	w.run(time.Second)
	core := w.current().core
	w.submit("b000000000000001", "c2", largeJob(10))
	wide := resource.Vector{MilliCores: 20_000}
	before := core.snapshot(w.instant())
	if len(before.Hosts) != 4 || !core.fleet.CouldHold("p", "", wide, 1, 4) {
		t.Fatalf("%d hosts before", len(before.Hosts))
	}
	core.SetEvacuations(evacuation.Zones{"z1": true})
	after := core.snapshot(w.instant())
	for _, h := range after.Hosts {
		if h.Endpoint.AvailabilityZone == "z1" {
			t.Errorf("%s is offered to plans", h.Endpoint.ID)
		}
	}
	if core.fleet.CouldHold("p", "", wide, 1, 3) || !core.fleet.CouldHoldOnceOpen("p", "", wide, 1, 4) {
		t.Error("what waits is told that the zone has room, or that it never will")
	}
	if a, b := keptSlots(after), keptSlots(before); a >= b {
		t.Errorf("%d places are kept free for urgent work, %d before", a, b)
	}
	core.SetEvacuations(nil)
	if n := len(core.snapshot(w.instant()).Hosts); n != 4 {
		t.Errorf("%d hosts once it is taken back", n)
	}
}

// TestEmptiedPoolStillCountsItsBacklog guards against jobs that are accepted without bound
// while the zones of all endpoints that could run them are being emptied.
func TestEmptiedPoolStillCountsItsBacklog(t *testing.T) {
	w := newZonedWorld(t, 1, faults{}, 2, 1)
	w.evacuate("z0", true)
	w.run(time.Second)
	w.submit("b000000000000001", "c2", largeJob(10))
	tooLarge := largeJob(10)
	tooLarge.Steps[0].Size.MilliCores = 1 << 30
	w.submit("b000000000000002", "c2", tooLarge)
	w.run(2 * time.Second)
	if n := w.current().core.backlog.waiting; n != 1 {
		t.Errorf("%d steps count as waiting, want the one that can run once the zone is back", n)
	}
}
