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
		limits := Limits{Bytes: rapid.Int64Range(0, 5000).Draw(t, "bytes"), Connections: rapid.IntRange(2, 8).Draw(t, "connections"), ShareWork: rapid.Bool().Draw(t, "share")}
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
				l.charge(e, rapid.IntRange(0, 40).Draw(t, "header"), rapid.IntRange(0, 600).Draw(t, "body"), now)
				for v := l.overdrawn(); v != nil; v = l.overdrawn() {
					if v.phase != receiving {
						t.Fatalf("a connection in phase %d is given up for its bytes", v.phase)
					}
					l.giveUp(v)
				}
			}),
			"admit": on(func(e *entry) { l.admit(e, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "customer")) }),
			"work": on(func(e *entry) {
				before, left, has := e.phase, limits.Connections-l.working, l.works[e.party.customer]
				granted := l.work(e)
				if before != cut && before != working && granted != (!limits.ShareWork || has < left) {
					t.Fatalf("a request of a customer with %d at work and %d left is granted: %v", has, left, granted)
				}
			}),
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
	works, atWork := make(map[string]int), 0
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
		if l.works[customer] != n {
			t.Fatalf("%q has %d requests at work, not %d", customer, n, l.works[customer])
		}
		atWork += n
	}
	if atWork != l.working {
		t.Fatalf("%d requests are at work, not %d", atWork, l.working)
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
	l.admit(other, "other")
	l.charge(other, 0, 100, 1)
	for i := range 9 {
		e := l.add("balancer", time.Duration(2+i))
		l.admit(e, "crowd")
		l.charge(e, 0, 300, time.Duration(2+i))
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
		l.charge(l.add("crowd", now), 10, 0, now)
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
		l.admit(e, customer)
		l.charge(e, 0, bytes, at)
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

// TestFirstRequestCountsFromItsConnection plays a server that reads late: a crowd's
// connections that were accepted before an ordinary one are read after it.
func TestFirstRequestCountsFromItsConnection(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1000, Connections: 100})
	var crowd []*entry
	for i := range 8 {
		crowd = append(crowd, l.add("balancer", time.Duration(1+i)))
	}
	ordinary := l.add("balancer", 10)
	l.charge(ordinary, 0, 100, 20)
	for i, e := range crowd {
		l.charge(e, 0, 600, time.Duration(30+i))
		for v := l.overdrawn(); v != nil; v = l.overdrawn() {
			l.giveUp(v)
		}
	}
	if ordinary.phase != receiving {
		t.Error("the request of the newest connection is given up for those of older ones")
	}
	idle := l.add("other", 40)
	l.charge(idle, 0, 1, 40+10*freshTime)
	if idle.since != 40+9*freshTime {
		t.Errorf("the first request of a connection that was idle counts from %s", idle.since)
	}
}

// TestIdleConnectionsStayBesideACrowd plays the load of a crowd's unfinished requests, of a
// key or of many addresses without one, on all connections but those that an ordinary caller
// keeps: the crowd's make room, as the ordinary caller may be sending on its own just then.
func TestIdleConnectionsStayBesideACrowd(t *testing.T) {
	const kept, clients = 10, 30
	for name, customer := range map[string]string{"of one key": "crowd", "of many addresses": ""} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(Limits{Bytes: 1 << 20, Connections: kept + clients})
			now := time.Duration(1)
			for range kept {
				e := l.add("ordinary", now)
				l.charge(e, 10, 0, now)
				l.admit(e, "other")
				l.answered(e, now)
			}
			now += 10 * time.Second
			for i := range 2 * clients {
				if l.full() {
					v := l.spare(now)
					if v == nil || v.party.customer == "other" {
						t.Fatalf("client %d: the ordinary caller's connection is closed, or none: %+v", i, v)
					}
					l.remove(v)
				}
				e := l.add(string(rune('a'+i)), now)
				l.charge(e, 10, 0, now)
				l.admit(e, customer)
			}
		})
	}
}

// TestCrowdWithoutAKeyGivesWay plays the load of unfinished requests from many addresses,
// none of them admitted, beside a larger one of an ordinary caller.
func TestCrowdWithoutAKeyGivesWay(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1000, Connections: 100})
	ordinary := l.add("o", 1)
	l.admit(ordinary, "other")
	l.charge(ordinary, 0, 400, 1)
	for i := range 20 {
		at := time.Duration(2 + i)
		l.charge(l.add(string(rune('a'+i)), at), 100/headerCost, 0, at)
		for v := l.overdrawn(); v != nil; v = l.overdrawn() {
			l.giveUp(v)
		}
	}
	if ordinary.phase != receiving {
		t.Error("the admitted request is given up for those of clients that were not admitted")
	}
}
