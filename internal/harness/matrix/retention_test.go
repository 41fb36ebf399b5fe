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
	// retainedRecords is the number of records that the log retains.
	// rotationRecords is the number of records to append so that the log
	// retains none of the records before them.
	retainedRecords = 60
	rotationRecords = 4 * retainedRecords
	// retentionTimeout bounds the whole test.
	retentionTimeout = 120 * time.Second
)

// TestRetention guards against state that is lost with the records that the log no
// longer retains. It makes the log drop the records of the configuration, of the
// claims and of accepted jobs, and kills and restarts every daemon, one by one and
// then all together. The configuration must not revert and no job may get lost.
func TestRetention(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx := harness.WithTimeout(context.Background(), retentionTimeout)
	opts := harness.DefaultOptions()
	opts.LogRetention = retainedRecords
	tc, err := newTestCell(ctx, t, defaultSeed, opts)
	if err != nil {
		t.Fatal(err)
	}
	entries := tc.Entries("")
	version, err := tc.PublishThrough(ctx, entries[0].Daemon, keySecret(keyOps), "operator", lowerLinenLimit)
	if err != nil {
		t.Fatal(err)
	}
	longJob := tc.submitJob(tc.ink, queueCost, harness.Job{
		Command: "sleep", Idempotent: true, Size: harness.JobSize{MilliCores: 500, MemoryMB: 64},
		Inputs: [][]byte{sleepInput(20 * time.Second)},
	})
	if longJob == "" {
		t.Fatal("job not accepted")
	}
	tc.rotateLog(t)
	for _, e := range entries {
		heal := tc.KillDaemon(e.Daemon)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		tc.awaitConfigVersion(t, e.Daemon, version)
	}
	tc.rotateLog(t)
	tc.restartAllDaemons(t, entries)
	for _, e := range entries {
		tc.awaitConfigVersion(t, e.Daemon, version)
	}
	if err := tc.awaitServing(recoveryTimeout); err != nil {
		t.Error(err)
	}
	if _, err := tc.PublishThrough(ctx, entries[0].Daemon, keySecret(keyOps), "operator", withdrawOldKey); err != nil {
		t.Errorf("publish after all daemons were restarted: %v", err)
	}
	tc.awaitJobs(ctx)
	tc.stepWork.Wait()
	tc.checkHistory(t)
}

// rotateLog submits jobs until the log has dropped all records that it held
// before.
func (tc *testCell) rotateLog(t *testing.T) {
	t.Helper()
	end := tc.logEnd(t)
	for i := 0; tc.logEnd(t) < end+rotationRecords; i++ {
		if tc.ctx.Err() != nil {
			t.Fatal("the log did not advance before the test timed out")
		}
		for n := range 4 {
			tc.stepWork.Go(func() { tc.submitJob(tc.linen, queueLots, echoJob(fmt.Sprintf("rotation %d.%d", i, n), 1)) })
		}
		tc.stepWork.Wait()
		tc.awaitShortJobs()
		for id := range tc.Daemons {
			tc.ObserveConfig(tc.ctx, id, keySecret(keyOps))
		}
	}
}

// awaitShortJobs waits for the outcomes of the short jobs, because the cell retains
// the outcome of a finished job only for a limited time.
func (tc *testCell) awaitShortJobs() {
	tc.mu.Lock()
	all := tc.jobs
	tc.jobs = nil
	tc.mu.Unlock()
	var waits sync.WaitGroup
	for _, j := range all {
		if j.sleeps {
			tc.trackJob(j)
			continue
		}
		waits.Go(func() { tc.awaitJob(harness.WithTimeout(tc.ctx, recoveryTimeout), j) })
	}
	waits.Wait()
}

// logEnd returns the offset after the last record of the log.
func (tc *testCell) logEnd(t *testing.T) uint64 {
	t.Helper()
	page, err := tc.Log.Read(tc.ctx, 0, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return page.End
}

// restartAllDaemons kills all daemons and then restarts them.
func (tc *testCell) restartAllDaemons(t *testing.T, entries []harness.Entry) {
	t.Helper()
	var heals []func() error
	for _, e := range entries {
		heals = append(heals, tc.KillDaemon(e.Daemon))
	}
	if err := healAll(heals...)(); err != nil {
		t.Fatal(err)
	}
}

// awaitConfigVersion waits until a daemon has a configuration version in force.
// The test fails if this takes longer than history.ConfigBound.
func (tc *testCell) awaitConfigVersion(t *testing.T, daemon string, version uint64) {
	t.Helper()
	ctx := harness.WithTimeout(tc.ctx, history.ConfigBound)
	var got uint64
	reached := harness.Eventually(ctx, func() bool {
		got = tc.ObserveConfig(ctx, daemon, keySecret(keyOps))
		return got == version
	})
	if !reached {
		t.Errorf("%s has version %d in force, want %d", daemon, got, version)
	}
}

// checkHistory fails the test for every violation in the history.
func (tc *testCell) checkHistory(t *testing.T) {
	t.Helper()
	events, err := tc.History()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range history.CheckAll(events, checkOptions(true)) {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
	s := history.Summarize(events)
	t.Logf("sent %d, done %d, not run %d, unknown %d, jobs accepted %d, finished %d", s.Sent, s.Done, s.NotRun, s.Unknown, s.JobsAccepted, s.JobsFinished)
}
