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

// newTicket issues a ticket as a front door does.
func (w *testZone) newTicket() ticket.Ticket {
	term := w.current().term
	return ticket.New(zoneName, term.Epoch(), term.Generation())
}

// runnerRequest returns a request of a team for the runner.
func runnerRequest(t ticket.Ticket, command, input string, idempotent bool) *Request {
	return &Request{Ticket: t, Team: redTeam, Queue: testQueue(), Idempotent: idempotent, Command: command, Input: []byte(input), Size: endpoint.Resources{Slots: 1}}
}

// frontDoor sends a request until it has an outcome, as package router does: after a
// change of holder it sends the request to the next one, with the epoch up to which the
// last one declared it as not started, for at most timeout.
func (w *testZone) frontDoor(ctx context.Context, r Request, timeout time.Duration) Result {
	deadline := time.Now().Add(timeout)
	for {
		term := w.current().term
		attempt, cancel := context.WithDeadline(ctx, deadline)
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
		if time.Now().After(deadline) || ctx.Err() != nil {
			return problemResult(deadlineProblem(sent))
		}
		time.Sleep(frontDoorRetryDelay)
	}
}

// deadlineProblem returns the front door's answer at the deadline.
func deadlineProblem(sent bool) *problem.Problem {
	if sent {
		return problem.UnknownOutcome(problem.OutcomeLost, "ask again", "no answer")
	}
	return problem.Refuse(problem.NoHolder, "retry", "no holder")
}

// sendAndRecord sends a caller's request and records the request and its answer.
func (w *testZone) sendAndRecord(ctx context.Context, id string, r *Request, timeout time.Duration) {
	w.record(history.Event{
		Kind: history.RequestSent, Source: "caller", Request: id, Ticket: r.Ticket.String(), Queue: queueName, Team: r.Team,
		Idempotent: r.Idempotent, InputSum: history.Checksum(r.Input), ExpectSum: history.Checksum(expectedOutput(r.Command, r.Input)),
	})
	result := w.frontDoor(ctx, *r, timeout)
	e := history.Event{Kind: history.RequestAnswered, Source: "caller", Request: id, Ticket: r.Ticket.String(), Verdict: string(result.verdict())}
	if result.Problem != nil {
		e.Code = string(result.Problem.Code)
	} else {
		e.OutputSum = history.Checksum(result.Output)
	}
	w.record(e)
}

// expectedOutput returns the correct answer to a command of the stand-in endpoint.
func expectedOutput(command string, input []byte) []byte {
	if command == "sleep" {
		return append([]byte("slept "), input...)
	}
	return input
}

// newJob returns a job of n tasks that sleep on workers.
func (w *testZone) newJob(n int, gang, idempotent bool, sleep string) record.Job {
	t := w.newTicket().String()
	j := record.Job{ID: JobID(t), Ticket: t, Team: blueTeam, Queue: queueName, Command: "sleep", Gang: gang, Idempotent: idempotent, MilliCores: 1000, MemoryMB: 100}
	for range n {
		j.Inputs = append(j.Inputs, []byte(sleep))
	}
	return j
}

// submit submits a job at the current holder and records its acceptance.
func (w *testZone) submit(ctx context.Context, j record.Job) *problem.Problem {
	w.record(history.Event{Kind: history.RequestSent, Source: "caller", Request: j.ID, Ticket: j.Ticket, Queue: queueName, Idempotent: j.Idempotent})
	id, p := w.current().term.SubmitJob(ctx, j, testQueue())
	if p != nil {
		return p
	}
	w.record(history.Event{Kind: history.JobAccepted, Source: "caller", Request: j.ID, Job: id, Tasks: len(j.Inputs), Idempotent: j.Idempotent})
	return nil
}

// recordOutcomes records the outcomes of all accepted jobs as a new reader of the log finds
// them, and returns how many tasks have no outcome.
func (w *testZone) recordOutcomes() (open int) {
	state := cell.New()
	page := w.log.Log.Read(context.Background(), 1, 0, 0)
	for len(page.Records) > 0 {
		for _, r := range page.Records {
			state.Apply(r.Offset, r.ID, r.Data)
		}
		page = w.log.Log.Read(context.Background(), state.Applied()+1, 0, 0)
	}
	for _, e := range w.events.all() {
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

// outcomeEvent returns the event of a caller that reads the outcome of a task.
func outcomeEvent(id string, o record.Outcome) history.Event {
	e := history.Event{Kind: history.JobFinished, Source: "caller", Job: id, Work: fmt.Sprintf("%s/%d", id, o.Index), State: o.State, Verdict: history.VerdictUnknown}
	switch o.State {
	case "done":
		e.Verdict, e.OutputSum = history.VerdictDone, history.Checksum(o.Output)
	case "not run":
		e.Verdict = history.VerdictNotRun
	}
	return e
}
