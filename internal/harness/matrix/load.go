package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
)

// Pace of the load in every cell.
const (
	requestPause = 60 * time.Millisecond
	jobPause     = 700 * time.Millisecond
	observePause = 400 * time.Millisecond
	// requestAttempts is how often a caller sends one request.
	requestAttempts = 8
	// requestPatience bounds all attempts at one request.
	requestPatience = 25 * time.Second
)

// startLoad lets callers of every kind of queue work until endLoad.
func (w *world) startLoad() {
	ctx, stop := context.WithCancel(w.ctx)
	w.stopLoad = stop
	w.repeat(ctx, requestPause, func(i int) {
		w.request(w.ink, queueLabel, fmt.Appendf(nil, "label %d", i), false)
	})
	w.repeat(ctx, requestPause, func(i int) {
		w.request(w.lin, queueMatch, fmt.Appendf(nil, "match %d", i), true)
	})
	w.repeat(ctx, 2*requestPause, func(i int) {
		w.request(w.open, queueOpen, fmt.Appendf(nil, "open %d", i), true)
	})
	w.repeat(ctx, 2*requestPause, func(i int) {
		w.request(w.old, queueMatch, fmt.Appendf(nil, "old %d", i), true)
	})
	w.repeat(ctx, jobPause, func(i int) {
		w.job(w.lin, queueLots, echoJob(fmt.Sprintf("lot %d", i), 2))
	})
	w.repeat(ctx, jobPause, func(int) {
		w.job(w.ink, queueCost, gangJob(2, 200*time.Millisecond, 500))
	})
	w.startHardLoad(ctx)
	w.repeat(ctx, observePause, func(int) {
		for id := range w.Daemons {
			w.ObserveConfig(ctx, id, secret(keyOps))
		}
	})
}

// repeat calls f again and again with a pause, until ctx ends.
func (w *world) repeat(ctx context.Context, pause time.Duration, f func(i int)) {
	w.load.Go(func() {
		ticker := time.NewTicker(pause)
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

// endLoad stops the load and waits for what is under way.
func (w *world) endLoad() {
	w.stopLoad()
	w.load.Wait()
	w.probes.Wait()
}

// request sends an echo request through all entries until it is answered.
func (w *world) request(c *harness.Caller, queue string, input []byte, idempotent bool) harness.Answer {
	ctx, cancel := context.WithTimeout(w.ctx, requestPatience)
	defer cancel()
	return c.Run(ctx, w.entriesFrom(), harness.Request{
		Queue: queue, Command: "echo", Input: input, Want: input, Idempotent: idempotent, Deadline: requestDeadline,
	}, requestAttempts)
}

// sleeper sends a request that occupies a slot for d.
func (w *world) sleeper(c *harness.Caller, queue string, entries []harness.Entry, d time.Duration, idempotent bool) {
	input := sleepInput(d)
	w.probes.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, requestPatience)
		defer cancel()
		c.Run(ctx, entries, harness.Request{
			Queue: queue, Command: "sleep", Input: input, Want: sleepOutput(input), Idempotent: idempotent, Deadline: requestDeadline,
		}, requestAttempts)
	})
}

func echoJob(name string, tasks int) harness.Job {
	j := harness.Job{Command: "echo", Size: harness.JobSize{MilliCores: 500, MemoryMB: 64}}
	for i := range tasks {
		j.Inputs = append(j.Inputs, fmt.Appendf(nil, "%s task %d", name, i))
	}
	return j
}

func gangJob(tasks int, d time.Duration, milliCores int64) harness.Job {
	j := harness.Job{Command: "sleep", Gang: true, Idempotent: true, Size: harness.JobSize{MilliCores: milliCores, MemoryMB: 64}}
	for range tasks {
		j.Inputs = append(j.Inputs, sleepInput(d))
	}
	return j
}

// job submits a job through all entries until it is accepted. A repeated
// submission carries the same ticket.
func (w *world) job(c *harness.Caller, queue string, j harness.Job) string {
	ctx, cancel := context.WithTimeout(w.ctx, requestPatience)
	defer cancel()
	entries := w.entriesFrom()
	for i := 0; i < requestAttempts && ctx.Err() == nil; i++ {
		at := entries[i%len(entries)]
		if j.Ticket == "" {
			j.Ticket, _ = c.Ticket(ctx, at, queue)
		}
		id, a := w.submitWithin(ctx, c, at, queue, j)
		if id != "" {
			w.remember(acceptedJob{c, id, j.Inputs, j.Command == "sleep"})
			return id
		}
		if a.Verdict == history.VerdictNotRun {
			j.Ticket = ""
		}
		harness.Pause(ctx, max(a.RetryAfter, 100*time.Millisecond))
	}
	return ""
}

// submitTimeout bounds the wait for the acceptance of a job.
const submitTimeout = 6 * time.Second

func (w *world) submitWithin(ctx context.Context, c *harness.Caller, at harness.Entry, queue string, j harness.Job) (string, harness.Answer) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return c.Submit(ctx, at, queue, j)
}

func (w *world) remember(j acceptedJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, j)
}

// awaitJobs waits for the outcomes of all accepted jobs.
func (w *world) awaitJobs(ctx context.Context) {
	w.mu.Lock()
	jobs := w.jobs
	w.jobs = nil
	w.mu.Unlock()
	var waiting sync.WaitGroup
	for _, j := range jobs {
		waiting.Go(func() { w.awaitJob(ctx, j) })
	}
	waiting.Wait()
}

// awaitJob waits for the outcomes of one job and records them.
func (w *world) awaitJob(ctx context.Context, j acceptedJob) {
	want := func(i int) []byte {
		if j.sleeps {
			return sleepOutput(j.inputs[i])
		}
		return j.inputs[i]
	}
	j.caller.AwaitJob(ctx, w.Entries(""), j.id, len(j.inputs), want)
}
