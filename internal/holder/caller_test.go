package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
)

// mint makes a ticket as a front door does.
func (w *world) mint() ticket.Ticket {
	term := w.current().term
	return ticket.New(zoneName, term.Epoch(), term.Generation())
}

// runnerRequest returns a request of a team for the runner.
func runnerRequest(t ticket.Ticket, command, input string, idempotent bool) *Request {
	return &Request{Ticket: t, Team: redTeam, Queue: testQueue(), Idempotent: idempotent, Command: command, Input: []byte(input), Size: endpoint.Resources{Slots: 1}}
}

// frontDoor brings a request to its outcome as package router does: it goes on
// at the next holder, with what the last one declared, until the deadline.
func (w *world) frontDoor(ctx context.Context, r Request, deadline time.Duration) Result {
	until := time.Now().Add(deadline)
	for {
		term := w.current().term
		attempt, cancel := context.WithDeadline(ctx, until)
		result := term.Run(attempt, &r)
		cancel()
		if result.Problem == nil || result.Problem.Code != problem.Moved {
			return result
		}
		sent := true
		if result.Problem.Verdict == problem.NotRun {
			if declared := term.NotStartedThrough(&r); declared > 0 {
				r.NotStartedEpoch, sent = declared, false
			}
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return failed(lateAnswer(sent))
		}
		time.Sleep(frontDoorPause)
	}
}

// lateAnswer is the front door's answer at the deadline.
func lateAnswer(sent bool) *problem.Problem {
	if sent {
		return problem.UnknownOutcome(problem.OutcomeLost, "ask again", "no answer")
	}
	return problem.Refuse(problem.NoHolder, "retry", "no holder")
}

// send makes a caller's request and records what it saw.
func (w *world) send(ctx context.Context, id string, r *Request, deadline time.Duration) {
	w.record(history.Event{
		Kind: history.RequestSent, Source: "caller", Request: id, Ticket: r.Ticket.String(), Queue: queueName, Team: r.Team,
		Idempotent: r.Idempotent, InputSum: history.Sum(r.Input), ExpectSum: history.Sum(expected(r.Command, r.Input)),
	})
	result := w.frontDoor(ctx, *r, deadline)
	e := history.Event{Kind: history.RequestAnswered, Source: "caller", Request: id, Ticket: r.Ticket.String(), Verdict: string(result.verdict())}
	if result.Problem != nil {
		e.Code = string(result.Problem.Code)
	} else {
		e.OutputSum = history.Sum(result.Output)
	}
	w.record(e)
}

// expected is the right answer of a stand-in's command.
func expected(command string, input []byte) []byte {
	if command == "sleep" {
		return append([]byte("slept "), input...)
	}
	return input
}

// job returns a job of n tasks that sleep on workers.
func (w *world) job(n int, gang, idempotent bool, sleep string) record.Job {
	t := w.mint().String()
	j := record.Job{ID: JobID(t), Ticket: t, Team: blueTeam, Queue: queueName, Command: "sleep", Gang: gang, Idempotent: idempotent, MilliCores: 1000, MemoryMB: 100}
	for range n {
		j.Inputs = append(j.Inputs, []byte(sleep))
	}
	return j
}

// submit submits a job at the current holder and records its acceptance.
func (w *world) submit(ctx context.Context, j record.Job) *problem.Problem {
	w.record(history.Event{Kind: history.RequestSent, Source: "caller", Request: j.ID, Ticket: j.Ticket, Queue: queueName, Idempotent: j.Idempotent})
	id, p := w.current().term.SubmitJob(ctx, j, testQueue())
	if p != nil {
		return p
	}
	w.record(history.Event{Kind: history.JobAccepted, Source: "caller", Request: j.ID, Job: id, Tasks: len(j.Inputs), Idempotent: j.Idempotent})
	return nil
}

// outcomes records what a fresh reader of the log finds of all jobs, and
// returns how many tasks are still open.
func (w *world) outcomes() (open int) {
	state := cell.New()
	page := w.log.Log.Read(context.Background(), 1, 0, 0)
	for len(page.Records) > 0 {
		for _, r := range page.Records {
			state.Apply(r.Offset, r.ID, r.Data)
		}
		page = w.log.Log.Read(context.Background(), state.Applied()+1, 0, 0)
	}
	for _, e := range w.seen.all() {
		if e.Kind != history.JobAccepted {
			continue
		}
		j, ok := state.Job(e.Job)
		if !ok {
			open += e.Tasks
			continue
		}
		for index := range j.Tasks {
			o, ended := j.Outcome(index)
			if !ended {
				open++
				continue
			}
			w.record(outcomeEvent(e.Job, o))
		}
	}
	return open
}

// outcomeEvent is the end of a task as a caller reads it.
func outcomeEvent(id string, o record.Outcome) history.Event {
	e := history.Event{Kind: history.JobFinished, Source: "caller", Job: id, Work: fmt.Sprintf("%s/%d", id, o.Index), State: o.State, Verdict: history.VerdictUnknown}
	switch o.State {
	case "done":
		e.Verdict, e.OutputSum = history.VerdictDone, history.Sum(o.Output)
	case "not run":
		e.Verdict = history.VerdictNotRun
	}
	return e
}
