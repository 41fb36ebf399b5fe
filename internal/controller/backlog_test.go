package controller

import (
	"testing"
	"time"
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
