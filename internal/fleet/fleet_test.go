package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n} }

// TestCouldHoldFollowsRegistrations guards against work that is left out of plans although
// an endpoint for it has registered, or has changed, since.
func TestCouldHoldFollowsRegistrations(t *testing.T) {
	f := New()
	could := func(label string, size int64, perEndpoint, tasks int) bool {
		return f.CouldHold("p", label, cores(size), perEndpoint, tasks)
	}
	register := func(id string, incarnation, size int64, labels ...string) *Endpoint {
		e, _ := f.Register(Registration{ID: id, Incarnation: incarnation, Pool: "p", Capacity: cores(size), Labels: labels})
		return e
	}
	check := func(what string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	check("no endpoint", could("", 1, 0, 1), false)
	register("e1", 1, 4)
	check("one of four cores", could("", 4, 0, 1), true)
	check("a larger task", could("", 5, 0, 1), false)
	check("a task too many", could("", 2, 0, 3), false)
	check("two on one endpoint", could("", 2, 1, 2), false)
	check("another pool", f.CouldHold("q", "", cores(1), 0, 1), false)
	second := register("e2", 1, 4)
	check("one on each of two", could("", 2, 1, 2), true)
	check("three on two", could("", 2, 0, 3), true)
	check("a label that none has", could("k", 1, 0, 1), false)
	register("e2", 1, 4, "k")
	check("the label is there", could("k", 1, 0, 1), true)
	register("e2", 1, 8, "k")
	check("it has grown", could("k", 8, 0, 1), true)
	f.Unlist(second)
	check("it has left", could("k", 1, 0, 1), false)
	register("e2", 1, 8, "k")
	check("it is back", could("k", 1, 0, 1), true)
	register("e2", 2, 2, "k")
	check("its next incarnation is smaller", could("k", 3, 0, 1), false)
	f.Drop(f.Endpoint("e2"))
	check("it is gone", could("k", 1, 0, 1), false)
}

// TestAnotherClockIsNoticed checks which readings are taken for those of a later
// incarnation.
func TestAnotherClockIsNoticed(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		// sent and received are when the second reading was, after the first one;
		// clock is what it showed.
		sent, received, clock time.Duration
		other                 bool
	}{
		"on time":                       {sent: 9 * second, received: 10 * second, clock: 1010 * second},
		"2% slow":                       {sent: 99 * second, received: 100 * second, clock: 1098 * second},
		"2% fast":                       {sent: 99 * second, received: 100 * second, clock: 1102 * second},
		"its answer was long under way": {sent: 2 * second, received: 10 * second, clock: 1002 * second},
		"it began again":                {sent: 9 * second, received: 10 * second, clock: second, other: true},
		"far ahead":                     {sent: 9 * second, received: 10 * second, clock: 5000 * second, other: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := New()
			e, _ := f.Register(Registration{ID: "e1"})
			if e.RecordAnswer(ClockReading{Sent: second, Received: second, Clock: 1000 * second}) {
				t.Error("the first reading is of another clock")
			}
			e.Grant(e.Deadline(second, 6*second))
			if got := e.RecordAnswer(ClockReading{Sent: second + c.sent, Received: second + c.received, Clock: c.clock}); got != c.other {
				t.Errorf("another clock: %v, want %v", got, c.other)
			}
			before := e.LeaseEnd()
			e.Grant(e.Deadline(second+c.received, 6*second))
			if e.LeaseEnd() <= before {
				t.Error("a later order does not extend the lease")
			}
		})
	}
}

// TestSpeedsBesideUncertainRunTimes has endpoints of the same speed run work whose run times
// are widely spread, and one that takes three times as long. The first ones must not seem to
// differ as much as the work does; the last one must be told from them.
func TestSpeedsBesideUncertainRunTimes(t *testing.T) {
	const spread = 0.6
	random := rand.New(rand.NewPCG(1, 1))
	observe := func(r *RunHistory, speed, spread float64) {
		for range 60 {
			took := time.Duration(speed * math.Exp(0.6*random.NormFloat64()) * float64(time.Second))
			r.ObserveUncertain(took, time.Second, spread)
		}
	}
	off := func(spread float64) (sum float64) {
		const endpoints = 200
		for range endpoints {
			var r RunHistory
			observe(&r, 1, spread)
			sum += math.Abs(math.Log(r.Slowdown())) / endpoints
		}
		return sum
	}
	if told, untold := off(spread), off(0); told > 0.12 || told > untold/2 {
		t.Errorf("equal endpoints seem to differ by %.2f, and by %.2f if the spread is not known", told, untold)
	}
	var slow RunHistory
	if observe(&slow, 3, spread); slow.Slowdown() < 2 {
		t.Errorf("an endpoint that takes three times as long has a slowdown of %.2f", slow.Slowdown())
	}
}
