package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLedgerKeepsItsBounds draws what connections do. The load: more of them, and
// more unfinished requests, than there is room for. Bytes and connections stay
// within their limits, and no request that is worked on is given up unless its
// answer is not read.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(0, 5000).Draw(t, "bytes"), Connections: rapid.IntRange(2, 8).Draw(t, "connections"), WorkShare: rapid.IntRange(0, 3).Draw(t, "share")}
		l := NewLedger(limits)
		now := time.Duration(1)
		pick := func() *entry {
			if len(l.entries) == 0 {
				return nil
			}
			return l.entries[rapid.IntRange(0, len(l.entries)-1).Draw(t, "entry")]
		}
		on := func(f func(e *entry)) func(*rapid.T) {
			return func(*rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				if e := pick(); e != nil {
					f(e)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if l.full() {
					spare := l.spare(now)
					if spare == nil {
						return
					}
					if spare.phase == working && (spare.writing == 0 || now-spare.writing < stalledAnswer) {
						t.Fatal("a request that is worked on is given up")
					}
					l.remove(spare)
				}
				l.add(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"), now)
			},
			"charge": on(func(e *entry) {
				l.charge(e, rapid.IntRange(1, 600).Draw(t, "read"), now)
				for v := l.overdrawn(); v != nil; v = l.overdrawn() {
					if v.phase != receiving {
						t.Fatalf("a connection in phase %d is given up for its bytes", v.phase)
					}
					l.giveUp(v)
				}
			}),
			"header": on(func(e *entry) { e.headerDone = true }),
			"admit": on(func(e *entry) {
				l.admit(e, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "customer"), rapid.IntRange(0, 700).Draw(t, "header"))
			}),
			"work":     on(func(e *entry) { l.work(e) }),
			"write":    on(func(e *entry) { e.writing = now }),
			"answered": on(func(e *entry) { e.writing = 0; l.answered(e, now) }),
			"remove":   on(func(e *entry) { l.remove(e); l.remove(e) }),
			"": func(*rapid.T) {
				checkSums(t, l)
				if l.bytes > limits.Bytes || len(l.entries) > limits.Connections {
					t.Fatalf("%d bytes of %d, %d connections of %d", l.bytes, limits.Bytes, len(l.entries), limits.Connections)
				}
			},
		})
	})
}

// checkSums compares the ledger's sums with those of its entries.
func checkSums(t *rapid.T, l *Ledger) {
	var bytes int64
	works := make(map[string]int)
	connections := make(map[party]int)
	for i, e := range l.entries {
		bytes += e.bytes
		connections[e.party]++
		if e.phase == working {
			works[e.workFor]++
		}
		if e.index != i || l.holdings[e.party] != e.holding {
			t.Fatal("an entry is lost")
		}
	}
	if bytes != l.bytes || len(connections) != len(l.holdings) || len(works) != len(l.works) {
		t.Fatalf("sums differ: %d and %d bytes, %d and %d parties, %v and %v", bytes, l.bytes, len(connections), len(l.holdings), works, l.works)
	}
	for customer, n := range works {
		if l.works[customer] != n || l.limits.WorkShare > 0 && n > l.limits.WorkShare {
			t.Fatalf("%q has %d requests at work, not %d, of %d", customer, n, l.works[customer], l.limits.WorkShare)
		}
	}
	for p, n := range connections {
		if l.holdings[p].connections != n {
			t.Fatalf("%v has %d connections, not %d", p, n, l.holdings[p].connections)
		}
	}
}

// TestCrowdOfOneKeyGivesWayToOthers plays the load of many unfinished requests of
// one customer behind one address: those of another customer stay.
func TestCrowdOfOneKeyGivesWayToOthers(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1000, Connections: 10})
	other := l.add("balancer", 1)
	other.headerDone = true
	l.admit(other, "other", 0)
	l.charge(other, 100, 1)
	for i := range 9 {
		e := l.add("balancer", time.Duration(2+i))
		e.headerDone = true
		l.admit(e, "crowd", 0)
		l.charge(e, 300, time.Duration(2+i))
		for v := l.overdrawn(); v != nil; v = l.overdrawn() {
			if v == other {
				t.Fatal("the other customer's request is given up")
			}
			l.giveUp(v)
		}
	}
	for range 6 {
		v := l.spare(20)
		if v == nil || v == other {
			t.Fatalf("the connection of the other customer is closed, or none: %+v", v)
		}
		l.remove(v)
	}
}

// TestReliefComesOnceAfterACrowd plays a crowd that comes, wavers and goes.
func TestReliefComesOnceAfterACrowd(t *testing.T) {
	l := Limits{Bytes: 800, Connections: 80}
	var r Relief
	for i, step := range []struct {
		bytes       int64
		connections int
		due         bool
	}{{0, 0, false}, {300, 30, false}, {0, 0, false}, {400, 10, false}, {200, 20, false}, {0, 11, false}, {100, 10, true}, {0, 0, false}, {0, 40, false}, {0, 0, true}, {0, 0, false}} {
		if due := r.Due(l, step.bytes, step.connections); due != step.due {
			t.Errorf("step %d: due is %v", i, due)
		}
	}
}

// TestNewcomerIsNotClosedForTheNext plays the load of a crowd that holds all connections with
// unfinished requests while others come: a newcomer keeps its place until it can send.
func TestNewcomerIsNotClosedForTheNext(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20, Connections: 5})
	now := time.Duration(1)
	for range 5 {
		l.charge(l.add("crowd", now), 10, now)
	}
	now += 10 * time.Second
	var newcomers []*entry
	for range 3 {
		v := l.spare(now)
		if v == nil || v.phase != receiving {
			t.Fatalf("the connection that is closed is in phase %v, not an unfinished one", v)
		}
		l.remove(v)
		newcomers = append(newcomers, l.add("ordinary", now))
		now += 10 * time.Millisecond
	}
	now += freshTime
	if v := l.spare(now); v != newcomers[0] {
		t.Errorf("%+v is closed, not the first connection on which nothing came", v)
	}
}

// TestCrowdOfManyAddressesGivesWay plays the load of one customer's unfinished requests from
// many addresses beside a larger one of another customer.
func TestCrowdOfManyAddressesGivesWay(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1000, Connections: 100})
	begin := func(address, customer string, bytes int, at time.Duration) *entry {
		e := l.add(address, at)
		e.headerDone = true
		l.admit(e, customer, 0)
		l.charge(e, bytes, at)
		return e
	}
	ordinary := begin("o", "other", 400, 1)
	for i := range 20 {
		begin(string(rune('a'+i)), "crowd", 100, time.Duration(2+i))
		for v := l.overdrawn(); v != nil; v = l.overdrawn() {
			l.giveUp(v)
		}
	}
	if ordinary.phase != receiving {
		t.Error("the other customer's request is given up for the crowd's")
	}
}

// TestBodyReadWithTheHeaderCountsAsBody guards against requests whose body comes with the
// header and is charged as header while the request waits.
func TestBodyReadWithTheHeaderCountsAsBody(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20, Connections: 2})
	e := l.add("a", 1)
	l.charge(e, 4000, 1)
	e.headerDone = true
	l.admit(e, "c", 200)
	if want := int64(200*headerCost + 3800); l.bytes != want || e.holding.bytes != want {
		t.Errorf("%d bytes are charged, want %d", l.bytes, want)
	}
}
