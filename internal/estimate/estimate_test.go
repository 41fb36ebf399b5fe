package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var key = Key{Queue: "q", Customer: "c"}

// near reports whether two durations differ by a factor of at most tolerance.
func near(got, want time.Duration, tolerance float64) bool {
	return math.Abs(math.Log(float64(got)/float64(want))) <= math.Log(tolerance)
}

// scaled returns d times e to the power of log.
func scaled(d time.Duration, log float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(log))
}

// TestModelRecovers has load whose stated run times are off by a factor of the queue, one of
// the customer, and noise, and of which a part of the differences is real.
func TestModelRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		slope := rapid.Float64Range(0, 1).Draw(t, "slope")
		shift := rapid.Float64Range(-1, 1).Draw(t, "shift")
		own := rapid.Float64Range(-0.7, 0.7).Draw(t, "offset of a customer")
		noise := rapid.Float64Range(0, 0.5).Draw(t, "noise")
		const usual = 4 * time.Second
		m, odd := NewModel(), Key{Queue: key.Queue, Customer: "odd"}
		actual := func(k Key, stated time.Duration) time.Duration {
			y := math.Log(float64(usual)) + shift + slope*math.Log(float64(stated)/float64(usual))
			if k == odd {
				y += own
			}
			return durationOf(y)
		}
		for range 1500 {
			k := key
			if random.IntN(4) == 0 {
				k = odd
			}
			stated := scaled(usual, 0.6*random.NormFloat64())
			m.Observe(k, stated, scaled(actual(k, stated), noise*random.NormFloat64()), 1)
		}
		for _, k := range []Key{key, odd} {
			for _, stated := range []time.Duration{usual / 2, usual, 2 * usual} {
				if got, want := m.Expect(k, stated).Typical, actual(k, stated); !near(got, want, 1.3) {
					t.Errorf("%v states %s: expected %s, want about %s", k, stated, got, want)
				}
			}
		}
		if got := m.Spread(key.Queue); math.Abs(got-noise) > 0.15 {
			t.Errorf("spread %.2f, want about %.2f", got, noise)
		}
	})
}

// TestOddOutcomesChangeLittle adds single outcomes that are malformed or off by orders of
// magnitude to a load whose stated run times are right.
func TestOddOutcomesChangeLittle(t *testing.T) {
	for _, odd := range []struct {
		name           string
		stated, actual time.Duration
		weight         float64
	}{
		{"nothing stated", 0, time.Second, 1},
		{"negative", -time.Second, time.Second, 1},
		{"ended before it began", time.Second, -time.Second, 1},
		{"stated far too long", math.MaxInt64, time.Second, 1},
		{"stated far too short", 1, 4 * time.Second, 1},
		{"stalled", 2 * time.Second, time.Hour, 1},
		{"weight not a number", time.Second, time.Hour, math.NaN()},
		{"weight infinite", 2 * time.Second, 4 * time.Second, math.Inf(1)},
	} {
		t.Run(odd.name, func(t *testing.T) {
			m := NewModel()
			for i := range 60 {
				d := time.Duration(1+i%4) * time.Second
				m.Observe(key, d, d, 1)
			}
			m.Observe(key, odd.stated, odd.actual, odd.weight)
			for _, stated := range []time.Duration{time.Second, 4 * time.Second} {
				if got := m.Expect(key, stated).Typical; !near(got, stated, 1.2) {
					t.Errorf("a task said to take %s is expected to take %s", stated, got)
				}
			}
		})
	}
}

// TestModelWithoutOutcomes takes stated run times as they are until something else was seen.
func TestModelWithoutOutcomes(t *testing.T) {
	m := NewModel()
	for _, stated := range []time.Duration{0, time.Second, math.MaxInt64} {
		if got := m.Expect(key, stated); got.Typical != stated || got.High != stated || m.Spread(key.Queue) != 0 {
			t.Errorf("%s stated: got %+v", stated, got)
		}
	}
	for range 20 {
		m.Observe(key, time.Second, 3*time.Second, 1)
	}
	if got := m.Expect(key, 0).Typical; !near(got, 3*time.Second, 1.3) {
		t.Errorf("a task without a stated run time is expected to take %s", got)
	}
	if got := m.Expect(key, math.MaxInt64).Typical; got <= 0 || got > longest {
		t.Errorf("the longest stated run time is expected to be %s", got)
	}
}

// TestModelIsBounded has queues and customers come and go.
func TestModelIsBounded(t *testing.T) {
	m := NewModel()
	for i := range 1000 {
		configured := Key{Queue: fmt.Sprint("q", i), Customer: fmt.Sprint("c", i)}
		m.Observe(configured, time.Second, time.Second, 1)
		m.Retain(func(k Key) bool { return k.Queue == configured.Queue && (k.Customer == "" || k == configured) })
		if queues, customers := m.Size(); queues != 1 || customers != 1 {
			t.Fatalf("%d queues and %d customers are kept", queues, customers)
		}
	}
}

// BenchmarkExpect is the cost of an expectation, of which each report takes one for a run.
func BenchmarkExpect(b *testing.B) {
	m := NewModel()
	for i := range 100 {
		m.Observe(key, time.Duration(1+i)*time.Second, time.Duration(2+i)*time.Second, 1)
	}
	for b.Loop() {
		m.Expect(key, 3*time.Second)
	}
}
