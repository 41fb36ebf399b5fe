package harness

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// JobSize is the size of each task of a job.
type JobSize struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Job is a durable job.
type Job struct {
	Ticket     string   `json:"ticket,omitempty"`
	Command    string   `json:"command"`
	Inputs     [][]byte `json:"inputs"`
	Gang       bool     `json:"gang"`
	Idempotent bool     `json:"idempotent"`
	Size       JobSize  `json:"size"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	Job   string    `json:"job"`
	State string    `json:"state"`
	Tasks []JobTask `json:"tasks"`
}

// JobTask is the state of one task.
type JobTask struct {
	Index  int    `json:"index"`
	State  string `json:"state"`
	Output []byte `json:"output"`
	Reason string `json:"reason"`
}

// Submit submits a job once. A job that was accepted has an id.
func (c *Caller) Submit(ctx context.Context, at Entry, queue string, j Job) (string, Answer) {
	id := c.recordSent(at, history.Event{Queue: queue, Ticket: j.Ticket, Idempotent: j.Idempotent, Tasks: len(j.Inputs)})
	var body struct {
		Job string `json:"job"`
	}
	a := Answer{Verdict: history.VerdictDone}
	if err := c.call(ctx, http.MethodPost, at.URL+"/v1/queues/"+queue+"/jobs", j, &body); err != nil {
		a = answerOf(ctx, err)
	}
	if body.Job != "" {
		c.rec.Add(history.Event{
			Kind: history.JobAccepted, Source: c.Name, Request: id, Ticket: j.Ticket, Job: body.Job,
			Tasks: len(j.Inputs), Idempotent: j.Idempotent, Queue: queue, Daemon: at.Daemon,
		})
	}
	c.rec.Add(history.Event{
		Kind: history.RequestAnswered, Source: c.Name, Request: id, Ticket: j.Ticket, Job: body.Job,
		Verdict: a.Verdict, Code: a.Code, Daemon: at.Daemon,
	})
	return body.Job, a
}

func answerOf(ctx context.Context, err error) Answer {
	var r *refusal
	if errors.As(err, &r) {
		return r.answer
	}
	return brokenAnswer(ctx, err)
}

// Status reads the state of a job.
func (c *Caller) Status(ctx context.Context, at Entry, job string) (JobStatus, error) {
	var s JobStatus
	err := c.call(ctx, http.MethodGet, at.URL+"/v1/jobs/"+job, nil, &s)
	return s, err
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, at Entry, job string) error {
	return c.call(ctx, http.MethodDelete, at.URL+"/v1/jobs/"+job, nil, nil)
}

// CancelRequest cancels a request by its ticket.
func (c *Caller) CancelRequest(ctx context.Context, at Entry, ticket string) error {
	c.rec.Add(history.Event{Kind: history.RequestCancelled, Source: c.Name, Ticket: ticket, Daemon: at.Daemon})
	return c.call(ctx, http.MethodDelete, at.URL+"/v1/requests/"+ticket, nil, nil)
}

// finalStates maps the final states of a task to verdicts.
var finalStates = map[string]string{
	"done":      history.VerdictDone,
	"failed":    history.VerdictDone,
	"cancelled": "cancelled",
	"not run":   history.VerdictNotRun,
	"unknown":   history.VerdictUnknown,
}

// AwaitJob polls the entries in turn until every task of a job has an
// outcome, records the outcomes and reports whether all came before ctx
// ended. want maps the index of a task to its right output, if known.
func (c *Caller) AwaitJob(ctx context.Context, entries []Entry, job string, tasks int, want func(index int) []byte) bool {
	for i := 0; ctx.Err() == nil; i++ {
		status, err := c.Status(ctx, entries[i%len(entries)], job)
		if err == nil && finished(status, tasks) {
			c.recordOutcomes(job, status, want)
			return true
		}
		Pause(ctx, retryPause)
	}
	return false
}

func finished(status JobStatus, tasks int) bool {
	final := 0
	for _, t := range status.Tasks {
		if finalStates[t.State] != "" {
			final++
		}
	}
	return final >= tasks
}

func (c *Caller) recordOutcomes(job string, status JobStatus, want func(int) []byte) {
	for _, t := range status.Tasks {
		e := history.Event{
			Kind: history.JobFinished, Source: c.Name, Job: job, Work: fmt.Sprintf("%s/%d", job, t.Index),
			State: t.State, Verdict: finalStates[t.State], OutputSum: history.Sum(t.Output),
		}
		if t.State == "done" && want != nil {
			e.ExpectSum = history.Sum(want(t.Index))
		}
		c.rec.Add(e)
	}
}
