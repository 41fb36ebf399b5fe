package harness

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// JobSize is the resource demand of each task of a job.
type JobSize struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Job is a durable job with one task per input.
type Job struct {
	Ticket  string   `json:"ticket,omitempty"`
	Command string   `json:"command"`
	Inputs  [][]byte `json:"inputs"`
	// Gang says that the tasks start, run and end together.
	Gang       bool    `json:"gang"`
	Idempotent bool    `json:"idempotent"`
	Size       JobSize `json:"size"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	Job   string    `json:"job"`
	State string    `json:"state"`
	Tasks []JobTask `json:"tasks"`
}

// JobTask is the state of one task of a job.
type JobTask struct {
	Index  int    `json:"index"`
	State  string `json:"state"`
	Output []byte `json:"output"`
	Reason string `json:"reason"`
}

// Submit submits a job once. It returns the job id, which is empty unless the job
// was accepted.
func (c *Caller) Submit(ctx context.Context, entry Entry, queue string, j Job) (string, Answer) {
	id := c.recordSent(entry, history.Event{Queue: queue, Ticket: j.Ticket, Idempotent: j.Idempotent, Tasks: len(j.Inputs)})
	var body struct {
		Job string `json:"job"`
	}
	a := Answer{Verdict: history.VerdictDone}
	if err := c.call(ctx, http.MethodPost, entry.URL+"/v1/queues/"+queue+"/jobs", j, &body); err != nil {
		a = errorAnswer(ctx, err)
	}
	if body.Job != "" {
		c.rec.Add(history.Event{
			Kind: history.JobAccepted, Source: c.Name, Request: id, Ticket: j.Ticket, Job: body.Job,
			Tasks: len(j.Inputs), Idempotent: j.Idempotent, Queue: queue, Daemon: entry.Daemon,
		})
	}
	c.rec.Add(history.Event{
		Kind: history.RequestAnswered, Source: c.Name, Request: id, Ticket: j.Ticket, Job: body.Job,
		Verdict: a.Verdict, Code: a.Code, Daemon: entry.Daemon,
	})
	return body.Job, a
}

// errorAnswer converts an error of Caller.call to an Answer.
func errorAnswer(ctx context.Context, err error) Answer {
	var r *refusalError
	if errors.As(err, &r) {
		return r.answer
	}
	return connectionErrorAnswer(ctx, err)
}

// Status reads the state of a job.
func (c *Caller) Status(ctx context.Context, entry Entry, job string) (JobStatus, error) {
	var s JobStatus
	err := c.call(ctx, http.MethodGet, entry.URL+"/v1/jobs/"+job, nil, &s)
	return s, err
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, entry Entry, job string) error {
	return c.call(ctx, http.MethodDelete, entry.URL+"/v1/jobs/"+job, nil, nil)
}

// CancelRequest cancels a request by its ticket.
func (c *Caller) CancelRequest(ctx context.Context, entry Entry, ticket string) error {
	c.rec.Add(history.Event{Kind: history.RequestCancelled, Source: c.Name, Ticket: ticket, Daemon: entry.Daemon})
	return c.call(ctx, http.MethodDelete, entry.URL+"/v1/requests/"+ticket, nil, nil)
}

// finalStates maps the final states of a task to verdicts. States that are not
// final are absent.
var finalStates = map[string]string{
	"done":      history.VerdictDone,
	"failed":    history.VerdictDone,
	"cancelled": "cancelled",
	"not run":   history.VerdictNotRun,
	"unknown":   history.VerdictUnknown,
}

// AwaitJob polls the entries in turn until every task of a job is in a final
// state, records the outcomes and reports whether this happened before ctx
// ended. want returns the expected output of a task; nil skips the check.
func (c *Caller) AwaitJob(ctx context.Context, entries []Entry, job string, tasks int, want func(index int) []byte) bool {
	for i := 0; ctx.Err() == nil; i++ {
		status, err := c.Status(ctx, entries[i%len(entries)], job)
		if err == nil && finished(status, tasks) {
			c.recordOutcomes(job, status, want)
			return true
		}
		Sleep(ctx, minRetryDelay)
	}
	return false
}

// finished reports whether at least the given number of tasks are in a final
// state.
func finished(status JobStatus, tasks int) bool {
	final := 0
	for _, t := range status.Tasks {
		if finalStates[t.State] != "" {
			final++
		}
	}
	return final >= tasks
}

// recordOutcomes records the final state of every task.
func (c *Caller) recordOutcomes(job string, status JobStatus, want func(int) []byte) {
	for _, t := range status.Tasks {
		e := history.Event{
			Kind: history.JobFinished, Source: c.Name, Job: job, Work: fmt.Sprintf("%s/%d", job, t.Index),
			State: t.State, Verdict: finalStates[t.State], OutputSum: history.Checksum(t.Output),
		}
		if t.State == "done" && want != nil {
			e.ExpectSum = history.Checksum(want(t.Index))
		}
		c.rec.Add(e)
	}
}
