package controller

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/workload"
)

func TestBacklog(t *testing.T) {
	b := &backlog{}
	now := time.Hour
	// after simulates a number of seconds with perSecond step starts each.
	after := func(seconds, perSecond int) {
		for range seconds {
			b.updateRate(now)
			b.begun += perSecond
			now += time.Second
		}
		b.updateRate(now)
	}
	after(20, 100)
	for waiting, want := range map[int]bool{0: false, minBacklog: false, 700: false, 1000: true, 5000: true} {
		b.waiting = waiting
		if got := b.expectedWait() > maxExpectedWait; got != want {
			t.Errorf("%d steps wait and 100 start a second: refused %v, want %v", waiting, got, want)
		}
	}
	b.waiting = minBacklog
	after(20, 0)
	if b.expectedWait() > 0 {
		t.Error("jobs are refused for a short backlog after an outage")
	}
	b.waiting = 1000
	if b.expectedWait() <= maxExpectedWait {
		t.Error("jobs are not refused although no step of a long backlog starts")
	}
}

// TestBacklogOfOneCustomer guards against one customer filling the backlog with
// steps that can't start and so causing the jobs of others to be refused.
func TestBacklogOfOneCustomer(t *testing.T) {
	b := &backlog{rate: 50}
	b.reset()
	wait := func(customer string, n int) {
		for range n {
			b.add(&stepEntry{jobEntry: &jobEntry{job: &workload.Job{Customer: customer}}})
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
	b.add(&stepEntry{begun: true, jobEntry: &jobEntry{job: &workload.Job{}}})
	b.add(&stepEntry{jobEntry: &jobEntry{job: &workload.Job{Excess: true}}})
	if b.waiting > 0 {
		t.Errorf("%d steps count as waiting that have begun or exceed a customer's rate", b.waiting)
	}
}
