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

// absenceBound is the bound that the tests pass to AbsentFor.
const absenceBound = 10 * time.Second

// scriptedLister returns lists of instances that depend on the time.
type scriptedLister struct {
	instances func() ([]loglist.Instance, error)
}

// Instances implements loglist.Lister.
func (s scriptedLister) Instances(context.Context, loglist.Filter) (*loglist.InstanceList, error) {
	list, err := s.instances()
	return &loglist.InstanceList{Instances: list}, err
}

// runDirectory runs a directory in fake time and calls f with it. script returns the
// list for the time since the start.
func runDirectory(t *testing.T, script func(since time.Duration) ([]loglist.Instance, error), f func(t *testing.T, d *Directory, start time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		d := NewDirectory(scriptedLister{func() ([]loglist.Instance, error) { return script(time.Since(start)) }}, "a", slog.New(slog.DiscardHandler))
		var running tomb.Tomb
		running.Go(func() error { return d.Run(&running) })
		f(t, d, start)
		running.Kill(nil)
		_ = running.Wait()
	})
}

// errDown is the error of a list that can't be read.
var errDown = errors.New("the list is down")

// w1 is the instance that the tests look for.
var w1 = loglist.Instance{ID: "w1", Role: loglist.RoleWorker, Address: "w1:1", AvailabilityZone: "a", State: loglist.StateLive}

// absentBetween returns a script that lists w1 except from one time to another.
func absentBetween(from, to time.Duration) func(time.Duration) ([]loglist.Instance, error) {
	return func(since time.Duration) ([]loglist.Instance, error) {
		if since >= from && since < to {
			return nil, nil
		}
		return []loglist.Instance{w1}, nil
	}
}

func TestAbsentOnlyAfterTheBound(t *testing.T) {
	runDirectory(t, absentBetween(5*time.Second, time.Hour), func(t *testing.T, d *Directory, start time.Time) {
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			since := time.Since(start)
			absent := d.AbsentFor("w1", absenceBound, start)
			if absent && since < 15*time.Second {
				t.Fatalf("reported absent after %s", since)
			}
			if !absent && since > 17*time.Second {
				t.Fatalf("not reported absent after %s", since)
			}
			if _, listed := d.Instance("w1"); listed != (since < 5500*time.Millisecond) && since > 6*time.Second {
				t.Fatalf("listed %v after %s", listed, since)
			}
		}
	})
}

// TestRelistedInstanceIsNotAbsent covers a list that lacks an instance for a while,
// but not for the whole bound.
func TestRelistedInstanceIsNotAbsent(t *testing.T) {
	runDirectory(t, absentBetween(5*time.Second, 13*time.Second), func(t *testing.T, d *Directory, start time.Time) {
		for range 80 {
			time.Sleep(500 * time.Millisecond)
			if d.AbsentFor("w1", absenceBound, start) {
				t.Fatalf("reported absent after %s", time.Since(start))
			}
		}
	})
}

// TestListOutageDoesNotProveAbsence checks that a read that lacks an instance,
// followed by a long time without reads, does not prove that the instance was absent
// for the bound.
func TestListOutageDoesNotProveAbsence(t *testing.T) {
	script := func(since time.Duration) ([]loglist.Instance, error) {
		switch {
		case since < 5*time.Second:
			return []loglist.Instance{w1}, nil
		case since < 6*time.Second:
			return nil, nil
		}
		return nil, errDown
	}
	runDirectory(t, script, func(t *testing.T, d *Directory, start time.Time) {
		time.Sleep(time.Minute)
		if d.AbsentFor("w1", absenceBound, start) {
			t.Error("an instance that one read lacked is reported absent after an outage of the list")
		}
	})
}

// TestNeverListedIsAbsentOnlyAfterReads checks that the first read after a long
// outage does not prove the absence of an instance that it does not list, because the
// list lags behind.
func TestNeverListedIsAbsentOnlyAfterReads(t *testing.T) {
	script := func(since time.Duration) ([]loglist.Instance, error) {
		if since < time.Minute {
			return nil, errDown
		}
		return nil, nil
	}
	runDirectory(t, script, func(t *testing.T, d *Directory, start time.Time) {
		time.Sleep(30 * time.Second)
		if d.AbsentFor("w1", absenceBound, start) || d.Ready() {
			t.Error("an instance is reported absent before the list was read")
		}
		time.Sleep(31500 * time.Millisecond)
		if !d.Ready() {
			t.Fatal("the list was not read")
		}
		if d.AbsentFor("w1", absenceBound, start) {
			t.Error("an instance is reported absent after the first read of the list")
		}
		time.Sleep(2 * absenceBound)
		if !d.AbsentFor("w1", absenceBound, start) {
			t.Error("an instance that was never listed is not reported absent after the bound")
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
	runDirectory(t, script, func(t *testing.T, d *Directory, _ time.Time) {
		time.Sleep(time.Minute)
		if got := d.Listed(func(loglist.Instance) bool { return true }); len(got) != 1 || got[0] != w1 {
			t.Errorf("listed %v", got)
		}
		if d.Resolve("w1/incarnation", "else") != "w1:1" || d.Resolve("w2/incarnation", "else") != "else" {
			t.Error("an address was not resolved")
		}
	})
}
