package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// TestLostEndpointWithHolderChanges loses an endpoint permanently while the
// holder changes more often than the leases of earlier terms take to lapse. The
// endpoint's tasks must still be restarted elsewhere.
func TestLostEndpointWithHolderChanges(t *testing.T) {
	const changes, gap = 6, 8 * time.Second
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		if longest := time.Duration(float64(w.params.Lease)*leaseClockFactor) + leaseMargin; gap > w.params.TermGrace+longest || gap < longest {
			t.Fatalf("a gap of %s does not test leases of up to %s", gap, longest)
		}
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(6)
		lost := 6 * time.Second
		w.after(lost, func() {
			w.endpoints["e03"].up = false
			w.endpoints["e03"].running = make(map[fleet.Key]*simRun)
		})
		w.after(lost+5*time.Second, func() { w.current().core.EndpointUnlisted("e03") })
		for i := range changes {
			w.after(lost+2*time.Second+time.Duration(i)*gap, func() { w.beginTerm() })
		}
		// By then the second of the new holders knows that the leases have
		// lapsed.
		w.run(lost + 2*time.Second + 2*gap + 14*time.Second)
		w.requireAllEnded()
		w.run(lost + 2*time.Second + changes*gap)
		w.requireAllEnded()
	})
}

// TestSilentEndpointsRecover disconnects and reconnects endpoints while the
// holder changes. The endpoints must be used again, and no task may run twice.
func TestSilentEndpointsRecover(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02})
		addEndpoints(w)
		w.beginTerm()
		w.submitTraffic(20)
		for i := range 12 {
			at := time.Duration(3+3*i) * time.Second
			w.after(at, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				e.disconnected = true
				w.after(w.between(500*time.Millisecond, 9*time.Second), func() { e.disconnected = false })
			})
			if i%3 == 2 {
				w.after(at+w.between(0, 4*time.Second), func() { w.beginTerm() })
			}
		}
		w.after(50*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireAllEnded()
		for e, es := range w.current().core.endpointStates {
			if es.silent && w.endpoints[e.ID].up && e.Incarnation == w.endpoints[e.ID].incarnation {
				t.Errorf("%s answers and still counts as silent", e.ID)
			}
		}
		for key, value := range w.records {
			if key[:2] == silentPrefix && len(value) > 0 {
				t.Errorf("the record %s is left over", key)
			}
		}
	})
}
