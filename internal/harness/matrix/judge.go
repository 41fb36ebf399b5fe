package matrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/history/linear"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// evidence holds, by promise, whether a run gave its checker anything to
// judge. A promise without evidence isn't counted as passed.
var evidence = map[string]func([]history.Event) bool{
	history.PromiseOvercommit: has(history.TaskStarted),
	history.PromiseOnePlace:   has(history.TaskStarted),
	history.PromiseKeys: func(h []history.Event) bool {
		return has(history.KeyGranted)(h) && slices.ContainsFunc(h, func(e history.Event) bool {
			return e.Kind == history.RequestSent && e.Key != ""
		})
	},
	history.PromiseLimit: func(h []history.Event) bool {
		return has(history.LimitSet)(h) && has(history.TaskStarted)(h)
	},
	history.PromiseAnswer: answeredWith(history.VerdictDone),
	history.PromiseNotRun: answeredWith(history.VerdictNotRun),
	history.PromiseOnce: func(h []history.Event) bool {
		return slices.ContainsFunc(h, func(e history.Event) bool {
			return e.Kind == history.TaskStarted && !e.Idempotent
		})
	},
	history.PromiseLeaving: has(history.EndpointLeaving),
	history.PromiseStop:    has(history.DrainStarted),
	history.PromiseConfig: func(h []history.Event) bool {
		return has(history.ConfigPublished)(h) && has(history.ConfigObserved)(h)
	},
	history.PromiseJobs: has(history.JobAccepted),
}

func has(kind history.Kind) func([]history.Event) bool {
	return func(h []history.Event) bool {
		return slices.ContainsFunc(h, func(e history.Event) bool { return e.Kind == kind })
	}
}

func answeredWith(verdict string) func([]history.Event) bool {
	return func(h []history.Event) bool {
		return slices.ContainsFunc(h, func(e history.Event) bool {
			return e.Kind == history.RequestAnswered && e.Verdict == verdict
		})
	}
}

// Rows on the linearizable objects of the system.
const (
	// ObjectTicket is the ticket as a register that is written at most once.
	ObjectTicket = "ticket object"
	// ObjectFence is the endpoint's epoch as a register that only grows.
	ObjectFence = "fence object"
	// ObjectClaim is the claim as a compare-and-swap register in the log:
	// every task was started under an epoch that a claim won there.
	ObjectClaim = "claim object"
)

// porcupineTimeout bounds the search for a linearization.
const porcupineTimeout = 20 * time.Second

// judgeObjects returns the rows on the linearizable objects.
func judgeObjects(cell Row, events []history.Event, log []loglist.Record) []Row {
	var rows []Row
	add := func(object string, verdict Verdict, detail string) {
		row := cell
		row.Promise, row.Verdict, row.Detail = object, verdict, detail
		rows = append(rows, row)
	}
	verdict, detail := linearizable(linear.TicketModel(), linear.TicketOperations(events))
	add(ObjectTicket, verdict, detail)
	verdict, detail = linearizable(linear.FenceModel(), linear.FenceOperations(events))
	add(ObjectFence, verdict, detail)
	unclaimed := linear.UnclaimedStarts(events, linear.ClaimedEpochs(log))
	switch {
	case len(unclaimed) > 0:
		add(ObjectClaim, Failed, fmt.Sprintf("%d tasks started under epochs that no claim won; the first: %+v", len(unclaimed), unclaimed[0]))
	case !has(history.TaskStarted)(events):
		add(ObjectClaim, NotRun, "no task started")
	default:
		add(ObjectClaim, Passed, "")
	}
	return rows
}

func linearizable(model porcupine.Model, ops []porcupine.Operation) (Verdict, string) {
	if len(ops) == 0 {
		return NotRun, "no operation on the object"
	}
	switch porcupine.CheckOperationsTimeout(model, ops, porcupineTimeout) {
	case porcupine.Ok:
		return Passed, ""
	case porcupine.Illegal:
		return Failed, "the operations on some object are not linearizable"
	}
	return NotRun, "no verdict in " + porcupineTimeout.String()
}

// judge returns one row per promise on the history of one cell.
func judge(cell Row, events []history.Event, opts history.Options) ([]Row, []history.Violation) {
	var rows []Row
	var all []history.Violation
	for _, c := range history.Checkers() {
		row := cell
		row.Promise = c.Promise
		found := c.Check(events, opts)
		all = append(all, found...)
		switch {
		case len(found) > 0:
			row.Verdict = Failed
			row.Detail = found[0].Detail
		case !evidence[c.Promise](events):
			row.Verdict = NotRun
			row.Detail = "the run gave nothing to check"
		default:
			row.Verdict = Passed
		}
		rows = append(rows, row)
	}
	return rows, all
}

// notRun returns rows for a cell that wasn't run or whose step wasn't
// reached.
func notRun(cell Row, why string) []Row {
	var rows []Row
	for _, promise := range promises() {
		if promise == PromiseRecovery {
			continue
		}
		row := cell
		row.Promise = promise
		row.Verdict = NotRun
		row.Detail = why
		rows = append(rows, row)
	}
	return rows
}
