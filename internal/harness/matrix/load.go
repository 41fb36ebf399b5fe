package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Intervals and bounds of the load in every cell.
const (
	requestInterval = 60 * time.Millisecond
	jobInterval     = 700 * time.Millisecond
	observeInterval = 400 * time.Millisecond
	// requestAttempts is the maximum number of attempts per request or job.
	requestAttempts = 8
	// requestTimeout bounds all attempts for one request or job together.
	requestTimeout = 25 * time.Second
)

// startLoad starts callers that use queues of every kind until endLoad. It also
// records which configuration each daemon has in force.
func (tc *testCell) startLoad() {
	ctx, stop := context.WithCancel(tc.ctx)
	tc.cancelLoad = stop
	tc.repeat(ctx, requestInterval, func(i int) {
		tc.sendEcho(tc.ink, queueLabel, fmt.Appendf(nil, "label %d", i), false)
	})
	tc.repeat(ctx, requestInterval, func(i int) {
		tc.sendEcho(tc.linen, queueMatch, fmt.Appendf(nil, "match %d", i), true)
	})
	tc.repeat(ctx, 2*requestInterval, func(i int) {
		tc.sendEcho(tc.open, queueOpen, fmt.Appendf(nil, "open %d", i), true)
	})
	tc.repeat(ctx, 2*requestInterval, func(i int) {
		tc.sendEcho(tc.oldKey, queueMatch, fmt.Appendf(nil, "old %d", i), true)
	})
	tc.repeat(ctx, jobInterval, func(i int) {
		tc.submitJob(tc.linen, queueLots, echoJob(fmt.Sprintf("lot %d", i), 2))
	})
	tc.repeat(ctx, jobInterval, func(int) {
		tc.submitJob(tc.ink, queueCost, gangJob(2, 200*time.Millisecond, 500))
	})
	tc.startEdgeCaseLoad(ctx)
	tc.repeat(ctx, observeInterval, func(int) {
		for id := range tc.Daemons {
			tc.ObserveConfig(ctx, id, keySecret(keyOps))
		}
	})
}

// repeat calls f in the background once per interval until ctx ends. Calls don't
// overlap.
func (tc *testCell) repeat(ctx context.Context, interval time.Duration, f func(i int)) {
	tc.load.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f(i)
			}
		}
	})
}

// endLoad stops the load and waits for the requests and publications in flight.
func (tc *testCell) endLoad() {
	tc.cancelLoad()
	tc.load.Wait()
	tc.stepWork.Wait()
}

// sendEcho sends an echo request through the entries in turn until it is done.
func (tc *testCell) sendEcho(c *harness.Caller, queue string, input []byte, idempotent bool) harness.Answer {
	ctx, cancel := context.WithTimeout(tc.ctx, requestTimeout)
	defer cancel()
	return c.Run(ctx, tc.rotatedEntries(), harness.Request{
		Queue: queue, Command: "echo", Input: input, Want: input, Idempotent: idempotent, Deadline: requestDeadline,
	}, requestAttempts)
}

// startSleepRequest sends a request in the background that occupies a slot for d.
func (tc *testCell) startSleepRequest(c *harness.Caller, queue string, entries []harness.Entry, d time.Duration, idempotent bool) {
	input := sleepInput(d)
	tc.stepWork.Go(func() {
		ctx, cancel := context.WithTimeout(tc.ctx, requestTimeout)
		defer cancel()
		c.Run(ctx, entries, harness.Request{
			Queue: queue, Command: "sleep", Input: input, Want: sleepOutput(input), Idempotent: idempotent, Deadline: requestDeadline,
		}, requestAttempts)
	})
}

// echoJob returns a job that is neither a gang nor idempotent.
func echoJob(name string, tasks int) harness.Job {
	j := harness.Job{Command: "echo", Size: harness.JobSize{MilliCores: 500, MemoryMB: 64}}
	for i := range tasks {
		j.Inputs = append(j.Inputs, fmt.Appendf(nil, "%s task %d", name, i))
	}
	return j
}

// gangJob returns an idempotent job whose tasks sleep for d and must all run at the
// same time.
func gangJob(tasks int, d time.Duration, milliCores int64) harness.Job {
	j := harness.Job{Command: "sleep", Gang: true, Idempotent: true, Size: harness.JobSize{MilliCores: milliCores, MemoryMB: 64}}
	for range tasks {
		j.Inputs = append(j.Inputs, sleepInput(d))
	}
	return j
}

// submitJob submits a job through the entries in turn until it is accepted and
// returns its id, or "". An attempt with an unknown outcome is repeated with the
// same ticket; after a refusal the next attempt requests a new ticket.
func (tc *testCell) submitJob(c *harness.Caller, queue string, j harness.Job) string {
	ctx, cancel := context.WithTimeout(tc.ctx, requestTimeout)
	defer cancel()
	entries := tc.rotatedEntries()
	for i := 0; i < requestAttempts && ctx.Err() == nil; i++ {
		entry := entries[i%len(entries)]
		if j.Ticket == "" {
			j.Ticket, _ = c.Ticket(ctx, entry, queue)
		}
		id, a := tc.submitWithTimeout(ctx, c, entry, queue, j)
		if id != "" {
			tc.trackJob(acceptedJob{c, id, j.Inputs, j.Command == "sleep"})
			return id
		}
		if a.Verdict == history.VerdictNotRun {
			j.Ticket = ""
		}
		harness.Sleep(ctx, max(a.RetryAfter, 100*time.Millisecond))
	}
	return ""
}

// submitTimeout bounds one attempt to submit a job.
const submitTimeout = 6 * time.Second

// submitWithTimeout submits a job once and waits at most submitTimeout.
func (tc *testCell) submitWithTimeout(ctx context.Context, c *harness.Caller, entry harness.Entry, queue string, j harness.Job) (string, harness.Answer) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return c.Submit(ctx, entry, queue, j)
}

// trackJob adds a job to those whose outcome is awaited at the end.
func (tc *testCell) trackJob(j acceptedJob) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.jobs = append(tc.jobs, j)
}

// awaitJobs waits for the outcomes of all tracked jobs and records them.
func (tc *testCell) awaitJobs(ctx context.Context) {
	tc.mu.Lock()
	jobs := tc.jobs
	tc.jobs = nil
	tc.mu.Unlock()
	var waits sync.WaitGroup
	for _, j := range jobs {
		waits.Go(func() { tc.awaitJob(ctx, j) })
	}
	waits.Wait()
}

// awaitJob waits for the outcomes of one job and records them.
func (tc *testCell) awaitJob(ctx context.Context, j acceptedJob) {
	want := func(i int) []byte {
		if j.sleeps {
			return sleepOutput(j.inputs[i])
		}
		return j.inputs[i]
	}
	j.caller.AwaitJob(ctx, tc.Entries(""), j.id, len(j.inputs), want)
}
