package controller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"gopkg.in/tomb.v2"
)

// quickLog is a log that answers appends within a millisecond and counts those without
// records.
type quickLog struct {
	keyedlog.Log
	proofs atomic.Int64
}

func (l *quickLog) Append(_ context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
	time.Sleep(time.Millisecond)
	if len(a.Records) == 0 {
		l.proofs.Add(1)
	}
	return keyedlog.AppendResult{}, nil
}

// newLogController returns a controller that writes to a log.
func newLogController(t *testing.T, log keyedlog.Log) *Controller {
	w, system := newWorld(t, 1, faults{}), clock.System()
	return NewController(NewCore(w.params, w.catalog, system.Now(), w.logger), Options{
		Epoch:     1,
		Clock:     system,
		TermProof: leadership.NewTermProof(time.Hour, system.Now()),
		Writer:    keyedlog.NewWriter(log, keyedlog.Partition{Topic: "jobs"}, "holder", 1),
		Logger:    slog.New(slog.DiscardHandler),
	})
}

// TestAppendHasEndedForTheRoundThatItWakes plays the load of callers that each wait for a
// proof: the round that an append wakes must not find it in flight and wait for its next
// tick.
func TestAppendHasEndedForTheRoundThatItWakes(t *testing.T) {
	c := newLogController(t, new(quickLog))
	c.tomb = new(tomb.Tomb)
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	for range 500 {
		c.proofs.request()
		c.beginAppend(c.clock.Now(), nil)
		<-c.wakeups
		if !c.latestAppend.isDone() {
			t.Error("the append wakes the run loop before it has ended")
			break
		}
	}
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
}

// TestSubmissionIsStoredBesideQueriesForUnknownJobs plays the load of many callers who ask
// without pause for jobs that don't exist. Their proofs must not put off the append of a
// job, nor take more calls to the log than appends do.
func TestSubmissionIsStoredBesideQueriesForUnknownJobs(t *testing.T) {
	const callers, hang = 50, 20 * time.Second
	log := new(quickLog)
	c := newLogController(t, log)
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	term := new(tomb.Tomb)
	began := time.Now()
	c.Start(term)
	var asking sync.WaitGroup
	for range callers {
		asking.Go(func() {
			for ctx.Err() == nil && term.Alive() {
				_ = c.ConfirmCurrent(ctx)
			}
		})
	}
	for log.proofs.Load() < 20 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	r, err := c.Submit(ctx, Submission{ID: "b000000000000001", Queue: "bulk", Customer: "c2", Accepted: time.Now(), Spec: largeJob(10)})
	if err != nil || r.Problem != nil {
		t.Errorf("a job submitted beside the queries: %v, %v", r.Problem, err)
	}
	term.Kill(nil)
	asking.Wait()
	_ = term.Wait()
	if proofs, most := log.proofs.Load(), int64(time.Since(began)/minAppendInterval)+1; proofs > most {
		t.Errorf("%d calls to the log prove that the term is current, appends would take at most %d", proofs, most)
	}
}
