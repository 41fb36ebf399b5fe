package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const pool = "p"

var (
	first  = Class{Priority: 0}
	second = Class{Priority: 1}
)

// overload is a pool in which a hot customer's work waits for a minute and a small one's for
// a hundredth of it.
func overload(free float64) *Pool {
	p := NewPool(free)
	for range 10 {
		p.AddRunning((1-free)/10, 4*time.Second)
	}
	p.AddWaiting(second, "hot", 1, Load{Share: 12, Seconds: 48})
	p.AddWaiting(second, "small", 1, Load{Share: 0.1, Seconds: 0.4})
	return p
}

// doorOf returns a door that was told of a pool at 0.
func doorOf(p *Pool) *Door {
	d := &Door{}
	d.Update(0, map[string]*Pool{pool: p})
	return d
}

func jobOf(customer string, useful time.Duration) Job {
	return Job{ID: customer, Pool: pool, Class: second, Customer: customer, Weight: 1, Load: Load{Share: 0.1, Seconds: 0.2}, Runs: 2 * time.Second, Objective: useful / 3, Useful: useful}
}

// TestHotCustomerIsRefused has one customer with many times its part of an overload. It is
// refused, a small one and one that has nothing waiting are not, nor is work whose end is of
// use for long, nor work that goes first.
func TestHotCustomerIsRefused(t *testing.T) {
	urgent, later := jobOf("hot", 10*time.Second), jobOf("hot", 10*time.Minute)
	urgent.Class = first
	for _, c := range []struct {
		name string
		job  Job
		want bool
	}{
		{"hot", jobOf("hot", 10*time.Second), true},
		{"small", jobOf("small", 10*time.Second), false},
		{"new", jobOf("new", 10*time.Second), false},
		{"hot, of use for long", later, false},
		{"hot, goes first", urgent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if v := doorOf(overload(0.05)).Decide(0, c.job); v.Refused != c.want {
				t.Errorf("got %+v", v)
			}
		})
	}
}

// TestLastingOverloadIsHeldToObjectives has the same work wait twice, in a burst and in an
// overload that lasts, of which a part is late. Only in the burst is more accepted than meets
// its objective.
func TestLastingOverloadIsHeldToObjectives(t *testing.T) {
	for late, want := range map[float64]bool{0: false, 1: false, 10: true} {
		p := NewPool(0)
		p.AddWaiting(second, "hot", 1, Load{Share: 5, Seconds: 20, Late: late})
		if v := doorOf(p).Decide(0, jobOf("hot", 60*time.Second)); v.Refused != want {
			t.Errorf("%.0f s of 20 s are late: got %+v", late, v)
		}
	}
}

// TestNobodyIsRefusedWithRoom has loads of all kinds on a pool that has room, on one that has
// room for the job, on one that is not known and on one whose state is old.
func TestNobodyIsRefusedWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := jobOf(rapid.SampledFrom([]string{"hot", "small", "new"}).Draw(t, "customer"), time.Duration(rapid.Int64().Draw(t, "useful"))/4)
		now := time.Duration(0)
		d := doorOf(overload(rapid.Float64Range(freeShare, 1).Draw(t, "free")))
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 1:
			j.Pool = "another"
		case 2:
			d, now = doorOf(overload(0)), maxAge+1
		case 3:
			d, j.HasRoom = doorOf(overload(0)), func() bool { return true }
		}
		if v := d.Decide(now, j); v.Refused {
			t.Errorf("refused with room: %+v", v)
		}
	})
}

// TestRetryAfter follows the drain of an overload, is bounded, and spreads callers that are
// refused together.
func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := overload(0)
		p.AddWaiting(second, "hot", 1, Load{Share: 1, Seconds: rapid.Float64Range(0, 1e9).Draw(t, "seconds")})
		d, at := doorOf(p), make(map[time.Duration]bool)
		for i := range 20 {
			j := jobOf("hot", 10*time.Second)
			j.ID = fmt.Sprint(i)
			v := d.Decide(0, j)
			if !v.Refused || v.RetryAfter < minRetry || float64(v.RetryAfter) > (1+retrySpread)*float64(maxRetry) {
				t.Fatalf("got %+v", v)
			}
			at[v.RetryAfter/(100*time.Millisecond)] = true
		}
		if len(at) < 5 {
			t.Errorf("20 callers return at %d times", len(at))
		}
	})
	short, long := jobOf("hot", 75*time.Second), jobOf("hot", 72*time.Second)
	d := doorOf(overload(0))
	if a, b := d.Decide(0, short), d.Decide(0, long); !a.Refused || !b.Refused || a.RetryAfter >= b.RetryAfter {
		t.Errorf("the overload drains for the one in time in %+v, for the other in %+v", a, b)
	}
}

// TestAcceptedWorkCountsAtOnce has a hot customer send many jobs between two plans. The door
// accepts what can be served in time, and no more.
func TestAcceptedWorkCountsAtOnce(t *testing.T) {
	p := NewPool(0)
	p.AddWaiting(second, "other", 1, Load{Share: 1, Seconds: 4})
	d, accepted := doorOf(p), 0.0
	for range 10_000 {
		if j := jobOf("hot", 20*time.Second); !d.Decide(0, j).Refused {
			accepted += j.Load.Seconds
		}
	}
	if accepted < 5 || accepted > 20 {
		t.Errorf("accepted work for %.1f s of the pool, of which all is to end in 20 s", accepted)
	}
}

// TestWaitCountsWhatRuns has a burst that has just begun to run on the whole pool: nothing
// waits, and yet new work waits until it ends.
func TestWaitCountsWhatRuns(t *testing.T) {
	p := NewPool(0)
	p.AddRunning(0.9, 5*time.Second)
	p.AddRunning(0.1, time.Hour)
	if got := p.Wait(second, 0.2); got < 5*time.Second || got > 6*time.Second {
		t.Errorf("expected wait %s", got)
	}
	if got := p.Wait(second, 0.95); got != 0 {
		t.Errorf("work for which the present runs never make room is expected to wait for %s", got)
	}
}

// TestWaitFollowsWhatStarts has pools that take in less than their capacity, as tasks take
// longer than stated, or of whose capacity better work takes a part.
func TestWaitFollowsWhatStarts(t *testing.T) {
	wait := func(better, own float64) time.Duration {
		d := &Door{}
		var p *Pool
		for at := range 60 {
			p = NewPool(0.1)
			p.AddStarted(first, better)
			p.AddStarted(second, own)
			p.AddWaiting(second, "hot", 1, Load{Share: 1, Seconds: 4})
			d.Update(time.Duration(at)*time.Second, map[string]*Pool{pool: p})
		}
		return p.Wait(second, 0)
	}
	for _, c := range []struct {
		better, own float64
		want        time.Duration
	}{{0, 0.9, 4400 * time.Millisecond}, {0.5, 0.4, 10 * time.Second}, {0, 0.4, 10 * time.Second}, {0.9, 0, 20 * time.Second}, {0, 3.6, 1100 * time.Millisecond}} {
		if got := wait(c.better, c.own); got < c.want*9/10 || got > c.want*11/10 {
			t.Errorf("%+v: expected wait %s", c, got)
		}
	}
}

// TestDrainIsKeptForAWhile has a pool with room between two overloads: what starts meanwhile
// tells nothing of what it can take in.
func TestDrainIsKeptForAWhile(t *testing.T) {
	d := &Door{}
	play := func(at time.Duration, started float64) time.Duration {
		p := NewPool(0)
		p.AddStarted(second, started)
		p.AddWaiting(second, "hot", 1, Load{Share: 1, Seconds: 4})
		d.Update(at, map[string]*Pool{pool: p})
		return p.Wait(second, 0)
	}
	var before time.Duration
	for at := range 60 {
		before = play(time.Duration(at)*time.Second, 0.4)
	}
	d.Update(60*time.Second, nil)
	if got := play(90*time.Second, 0); got != before {
		t.Errorf("expected wait %s before, %s after", before, got)
	}
	d.Update(91*time.Second, nil)
	d.Update(300*time.Second, nil)
	if len(d.drains) != 0 {
		t.Errorf("%d pools are remembered", len(d.drains))
	}
}

// TestMistakesAreCounted counts the refused jobs for which there is room after all, once.
func TestMistakesAreCounted(t *testing.T) {
	d := doorOf(overload(0))
	if !d.Decide(0, jobOf("hot", 10*time.Second)).Refused {
		t.Fatal("not refused")
	}
	for _, c := range []struct {
		at    time.Duration
		pools map[string]*Pool
		want  int
	}{
		{time.Second, map[string]*Pool{pool: overload(0)}, 0},
		{2 * time.Second, nil, 1},
		{3 * time.Second, nil, 0},
	} {
		if got := d.Update(c.at, c.pools); got != c.want {
			t.Errorf("at %s: %d, want %d", c.at, got, c.want)
		}
	}
	d = doorOf(overload(0))
	d.Decide(0, jobOf("hot", 10*time.Second))
	if got := d.Update(9*time.Second, nil); got != 0 {
		t.Errorf("%d jobs count although there was no room in time", got)
	}
}

// TestOddWeights has customers with weights of 0, negative and huge.
func TestOddWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(0)
		p.AddWaiting(second, "hot", rapid.Float64().Draw(t, "hot"), Load{Share: 1, Seconds: 100})
		j := jobOf("hot", 10*time.Second)
		j.Weight = rapid.Float64().Draw(t, "weight")
		if v := doorOf(p).Decide(0, j); !v.Refused {
			t.Errorf("the only customer is not refused: %+v", v)
		}
	})
}
