package matrix

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

const (
	// keptRecords is the retention of the log, and turnover how many records
	// are appended so that nothing of the beginning is kept.
	keptRecords = 60
	turnover    = 4 * keptRecords
	// retentionTimeout bounds the whole test.
	retentionTimeout = 120 * time.Second
)

// TestRetention lets the log drop the records of the configuration, of the
// claims and of accepted jobs, and replaces every daemon, one by one and then
// all at once. Nothing may revert or get lost.
func TestRetention(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx := harness.Within(context.Background(), retentionTimeout)
	opts := harness.DefaultOptions()
	opts.LogRetention = keptRecords
	w, err := newWorld(ctx, t, defaultSeed, opts)
	if err != nil {
		t.Fatal(err)
	}
	entries := w.Entries("")
	version, err := w.PublishThrough(ctx, entries[0].Daemon, secret(keyOps), "operator", lowerLinen)
	if err != nil {
		t.Fatal(err)
	}
	waiting := w.job(w.ink, queueCost, harness.Job{
		Command: "sleep", Idempotent: true, Size: harness.JobSize{MilliCores: 500, MemoryMB: 64},
		Inputs: [][]byte{sleepInput(20 * time.Second)},
	})
	if waiting == "" {
		t.Fatal("job not accepted")
	}
	w.turnOver(t)
	for _, e := range entries {
		heal := w.KillDaemon(e.Daemon)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		w.awaitVersion(t, e.Daemon, version)
	}
	w.turnOver(t)
	w.replaceAll(t, entries)
	for _, e := range entries {
		w.awaitVersion(t, e.Daemon, version)
	}
	if err := w.awaitServing(recoveryTimeout); err != nil {
		t.Error(err)
	}
	if _, err := w.PublishThrough(ctx, entries[0].Daemon, secret(keyOps), "operator", withdrawOld); err != nil {
		t.Errorf("publish after the fleet was replaced: %v", err)
	}
	w.awaitJobs(ctx)
	w.probes.Wait()
	w.judgeAll(t)
}

// turnOver appends records until the log has dropped what it held before.
func (w *world) turnOver(t *testing.T) {
	t.Helper()
	end := w.logEnd(t)
	for i := 0; w.logEnd(t) < end+turnover; i++ {
		if w.ctx.Err() != nil {
			t.Fatal("the log doesn't move on")
		}
		for n := range 4 {
			w.probes.Go(func() { w.job(w.lin, queueLots, echoJob(fmt.Sprintf("turnover %d.%d", i, n), 1)) })
		}
		w.probes.Wait()
		w.awaitTurnover()
		for id := range w.Daemons {
			w.ObserveConfig(w.ctx, id, secret(keyOps))
		}
	}
}

// awaitTurnover waits for the outcomes of the short jobs, which the cell needs
// to keep only for a while.
func (w *world) awaitTurnover() {
	w.mu.Lock()
	all := w.jobs
	w.jobs = nil
	w.mu.Unlock()
	var waiting sync.WaitGroup
	for _, j := range all {
		if j.sleeps {
			w.remember(j)
			continue
		}
		waiting.Go(func() { w.awaitJob(harness.Within(w.ctx, recoveryTimeout), j) })
	}
	waiting.Wait()
}

func (w *world) logEnd(t *testing.T) uint64 {
	t.Helper()
	page, err := w.Log.Read(w.ctx, 0, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return page.End
}

// replaceAll kills every daemon before it starts any again.
func (w *world) replaceAll(t *testing.T, entries []harness.Entry) {
	t.Helper()
	var heals []func() error
	for _, e := range entries {
		heals = append(heals, w.KillDaemon(e.Daemon))
	}
	if err := both(heals...)(); err != nil {
		t.Fatal(err)
	}
}

// awaitVersion waits until a daemon has a version in force.
func (w *world) awaitVersion(t *testing.T, daemon string, version uint64) {
	t.Helper()
	ctx := harness.Within(w.ctx, history.ConfigBound)
	var got uint64
	reached := harness.Eventually(ctx, func() bool {
		got = w.ObserveConfig(ctx, daemon, secret(keyOps))
		return got == version
	})
	if !reached {
		t.Errorf("%s has version %d in force, want %d", daemon, got, version)
	}
}

// judgeAll fails the test for every violation.
func (w *world) judgeAll(t *testing.T) {
	t.Helper()
	events, err := w.History()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range history.CheckAll(events, checkOptions(true)) {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
	s := history.Summarize(events)
	t.Logf("sent %d, done %d, not run %d, unknown %d, jobs accepted %d, finished %d", s.Sent, s.Done, s.NotRun, s.Unknown, s.JobsAccepted, s.JobsFinished)
}
