package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// TestLostEndpointUnderChangingHolders loses an endpoint for good while the
// holder changes more often than the leases of earlier terms take to lapse.
func TestLostEndpointUnderChangingHolders(t *testing.T) {
	const changes, gap = 6, 8 * time.Second
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{})
		if longest := time.Duration(float64(w.bounds.Lease)*leaseStretch) + leaseMargin; gap > w.bounds.TermGrace+longest || gap < longest {
			t.Fatalf("a gap of %s shows nothing with leases up to %s", gap, longest)
		}
		fleetOf(w)
		w.begin()
		w.traffic(6)
		lost := 6 * time.Second
		w.at(lost, func() {
			w.endpoints["e03"].up = false
			w.endpoints["e03"].running = make(map[fleet.Key]*simRun)
		})
		w.at(lost+5*time.Second, func() { w.current().core.EndpointUnlisted("e03") })
		for i := range changes {
			w.at(lost+2*time.Second+time.Duration(i)*gap, func() { w.begin() })
		}
		// The second of the changed holders knows.
		w.run(lost + 2*time.Second + 2*gap + 14*time.Second)
		w.requireServed()
		w.run(lost + 2*time.Second + changes*gap)
		w.requireServed()
	})
}

// TestSilentEndpointsComeBack cuts endpoints off and joins them again, while the
// holder changes: they are used again, and nothing runs twice.
func TestSilentEndpointsComeBack(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, faults{lost: 0.02})
		fleetOf(w)
		w.begin()
		w.traffic(20)
		for i := range 12 {
			at := time.Duration(3+3*i) * time.Second
			w.at(at, func() {
				e := w.endpoints[w.ids()[w.rand.IntN(len(w.endpoints))]]
				e.cut = true
				w.at(w.between(500*time.Millisecond, 9*time.Second), func() { e.cut = false })
			})
			if i%3 == 2 {
				w.at(at+w.between(0, 4*time.Second), func() { w.begin() })
			}
		}
		w.at(50*time.Second, func() { w.faults = faults{} })
		w.run(110 * time.Second)
		w.requireServed()
		for e, ec := range w.current().core.control {
			if ec.silent && w.endpoints[e.ID].up && e.Incarnation == w.endpoints[e.ID].born {
				t.Errorf("%s answers and is still taken as silent", e.ID)
			}
		}
		for key, value := range w.records {
			if key[:2] == silentPrefix && len(value) > 0 {
				t.Errorf("the record %s is left over", key)
			}
		}
	})
}
