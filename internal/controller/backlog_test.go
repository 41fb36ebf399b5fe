package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/workload"
)

func TestBacklog(t *testing.T) {
	b := &backlog{}
	now := time.Hour
	// after lets a number of steps begin each second for a while.
	after := func(seconds, perSecond int) {
		for range seconds {
			b.turn(now)
			b.begun += perSecond
			now += time.Second
		}
		b.turn(now)
	}
	after(20, 100)
	for waiting, want := range map[int]bool{0: false, leastBacklog: false, 700: false, 1000: true, 5000: true} {
		b.waiting = waiting
		if got := b.wait() > longestWait; got != want {
			t.Errorf("%d wait and 100 begin a second: refused %v, want %v", waiting, got, want)
		}
	}
	b.waiting = leastBacklog
	after(20, 0)
	if b.wait() > 0 {
		t.Error("a short queue is refused after an outage")
	}
	b.waiting = 1000
	if b.wait() <= longestWait {
		t.Error("a long queue of which nothing begins is not refused")
	}
}

// TestBacklogOfOneCustomer has one customer fill the queue with what can't begin.
func TestBacklogOfOneCustomer(t *testing.T) {
	b := &backlog{rate: 50}
	b.reset()
	wait := func(customer string, n int) {
		for range n {
			b.count(&stepEntry{entry: &jobEntry{job: &workload.Job{Customer: customer}}})
		}
	}
	wait("large", 2000)
	wait("small", 20)
	for customer, want := range map[string]bool{"large": true, "small": false, "new": false} {
		if _, refused := b.refuses(customer); refused != want {
			t.Errorf("%s: refused %v, want %v", customer, refused, want)
		}
	}
	b.reset()
	b.count(&stepEntry{begun: true, entry: &jobEntry{job: &workload.Job{}}})
	b.count(&stepEntry{entry: &jobEntry{job: &workload.Job{Excess: true}}})
	if b.waiting > 0 {
		t.Errorf("%d count as waiting that have begun or are beyond a rate", b.waiting)
	}
}
