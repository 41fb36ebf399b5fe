package membership

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// goneBound is the bound that the tests ask for.
const goneBound = 10 * time.Second

// scripted is a list of instances that changes with time.
type scripted struct {
	instances func() ([]loglist.Instance, error)
}

// Instances implements loglist.Lister.
func (s scripted) Instances(context.Context, loglist.Filter) (*loglist.InstanceList, error) {
	list, err := s.instances()
	return &loglist.InstanceList{Instances: list}, err
}

// inBubble runs a directory over a list that script gives by the time since
// the start, and calls f with it.
func inBubble(t *testing.T, script func(since time.Duration) ([]loglist.Instance, error), f func(t *testing.T, d *Directory, start time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		d := NewDirectory(scripted{func() ([]loglist.Instance, error) { return script(time.Since(start)) }}, "a", slog.New(slog.DiscardHandler))
		var running tomb.Tomb
		running.Go(func() error { return d.Run(&running) })
		f(t, d, start)
		running.Kill(nil)
		_ = running.Wait()
	})
}

// errDown is a list that can't be read.
var errDown = errors.New("the list is down")

// w1 is the instance of the tests.
var w1 = loglist.Instance{ID: "w1", Role: loglist.RoleWorker, Address: "w1:1", AvailabilityZone: "a", State: loglist.StateLive}

// between lists w1 except in a period.
func between(from, to time.Duration) func(time.Duration) ([]loglist.Instance, error) {
	return func(since time.Duration) ([]loglist.Instance, error) {
		if since >= from && since < to {
			return nil, nil
		}
		return []loglist.Instance{w1}, nil
	}
}

func TestGoneOnlyAfterTheBound(t *testing.T) {
	inBubble(t, between(5*time.Second, time.Hour), func(t *testing.T, d *Directory, start time.Time) {
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			since := time.Since(start)
			gone := d.AbsentFor("w1", goneBound, start)
			if gone && since < 15*time.Second {
				t.Fatalf("gone after %s", since)
			}
			if !gone && since > 17*time.Second {
				t.Fatalf("not gone after %s", since)
			}
			if _, listed := d.Instance("w1"); listed != (since < 5500*time.Millisecond) && since > 6*time.Second {
				t.Fatalf("listed %v after %s", listed, since)
			}
		}
	})
}

// TestReturnedInstanceIsNotGone covers a list that was wrong for a while.
func TestReturnedInstanceIsNotGone(t *testing.T) {
	inBubble(t, between(5*time.Second, 13*time.Second), func(t *testing.T, d *Directory, start time.Time) {
		for range 80 {
			time.Sleep(500 * time.Millisecond)
			if d.AbsentFor("w1", goneBound, start) {
				t.Fatalf("gone after %s", time.Since(start))
			}
		}
	})
}

// TestOutageOfTheListProvesNothing: one read that lacks an instance, and then
// none for long, is no proof that the list lacked it for the bound.
func TestOutageOfTheListProvesNothing(t *testing.T) {
	script := func(since time.Duration) ([]loglist.Instance, error) {
		switch {
		case since < 5*time.Second:
			return []loglist.Instance{w1}, nil
		case since < 6*time.Second:
			return nil, nil
		}
		return nil, errDown
	}
	inBubble(t, script, func(t *testing.T, d *Directory, start time.Time) {
		time.Sleep(time.Minute)
		if d.AbsentFor("w1", goneBound, start) {
			t.Error("an instance that one read lacked is gone after an outage of the list")
		}
	})
}

// TestNeverListedIsGoneOnlyAfterReads: the first read after a long outage does
// not prove an instance gone that it doesn't list; the list lags.
func TestNeverListedIsGoneOnlyAfterReads(t *testing.T) {
	script := func(since time.Duration) ([]loglist.Instance, error) {
		if since < time.Minute {
			return nil, errDown
		}
		return nil, nil
	}
	inBubble(t, script, func(t *testing.T, d *Directory, start time.Time) {
		time.Sleep(30 * time.Second)
		if d.AbsentFor("w1", goneBound, start) || d.Ready() {
			t.Error("an instance is gone before the list was read")
		}
		time.Sleep(31500 * time.Millisecond)
		if !d.Ready() {
			t.Fatal("the list was not read")
		}
		if d.AbsentFor("w1", goneBound, start) {
			t.Error("an instance is gone by the first read of the list")
		}
		time.Sleep(2 * goneBound)
		if !d.AbsentFor("w1", goneBound, start) {
			t.Error("an instance that was never listed is not gone after the bound")
		}
	})
}

func TestFailedReadKeepsTheList(t *testing.T) {
	script := func(since time.Duration) ([]loglist.Instance, error) {
		if since > time.Second {
			return nil, errDown
		}
		return []loglist.Instance{w1}, nil
	}
	inBubble(t, script, func(t *testing.T, d *Directory, _ time.Time) {
		time.Sleep(time.Minute)
		if got := d.Listed(func(loglist.Instance) bool { return true }); len(got) != 1 || got[0] != w1 {
			t.Errorf("listed %v", got)
		}
		if d.Resolve("w1/incarnation", "else") != "w1:1" || d.Resolve("w2/incarnation", "else") != "else" {
			t.Error("an address was not resolved")
		}
	})
}
