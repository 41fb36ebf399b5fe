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

// exercised holds a function per promise that reports whether a history contains
// events that can confirm or break the promise. Without such events the promise
// counts as not run instead of passed.
var exercised = map[string]func([]history.Event) bool{
	history.PromiseOvercommit:    hasKind(history.TaskStarted),
	history.PromiseSingleAttempt: hasKind(history.TaskStarted),
	history.PromiseKeys: func(h []history.Event) bool {
		return hasKind(history.KeyGranted)(h) && slices.ContainsFunc(h, func(e history.Event) bool {
			return e.Kind == history.RequestSent && e.Key != ""
		})
	},
	history.PromiseLimit: func(h []history.Event) bool {
		return hasKind(history.LimitSet)(h) && hasKind(history.TaskStarted)(h)
	},
	history.PromiseAnswer:     answeredWith(history.VerdictDone),
	history.PromiseNotRunTrue: answeredWith(history.VerdictNotRun),
	history.PromiseAtMostOnce: func(h []history.Event) bool {
		return slices.ContainsFunc(h, func(e history.Event) bool {
			return e.Kind == history.TaskStarted && !e.Idempotent
		})
	},
	history.PromiseLeaving: hasKind(history.EndpointLeaving),
	history.PromiseStop:    hasKind(history.DrainStarted),
	history.PromiseConfig: func(h []history.Event) bool {
		return hasKind(history.ConfigPublished)(h) && hasKind(history.ConfigObserved)(h)
	},
	history.PromiseJobs: hasKind(history.JobAccepted),
}

func hasKind(kind history.Kind) func([]history.Event) bool {
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

// Names of the rows on the objects that must be linearizable.
const (
	// ObjectTicket models a ticket as a register that is written at most once.
	ObjectTicket = "ticket object"
	// ObjectFence models the epoch of an endpoint, its fencing token, as a
	// register that never decreases.
	ObjectFence = "fence object"
	// ObjectClaim models the claims in the log as a compare-and-swap register:
	// every task must have started under an epoch that a successful claim
	// created.
	ObjectClaim = "claim object"
)

// linearizationTimeout bounds the search for a linearization.
const linearizationTimeout = 20 * time.Second

// checkObjects returns one row per object that must be linearizable.
func checkObjects(cell Row, events []history.Event, log []loglist.Record) []Row {
	var rows []Row
	add := func(object string, verdict Verdict, detail string) {
		row := cell
		row.Promise, row.Verdict, row.Detail = object, verdict, detail
		rows = append(rows, row)
	}
	verdict, detail := checkLinearizable(linear.TicketModel(), linear.TicketOperations(events))
	add(ObjectTicket, verdict, detail)
	verdict, detail = checkLinearizable(linear.FenceModel(), linear.FenceOperations(events))
	add(ObjectFence, verdict, detail)
	unclaimed := linear.UnclaimedStarts(events, linear.ClaimedEpochs(log))
	switch {
	case len(unclaimed) > 0:
		add(ObjectClaim, Failed, fmt.Sprintf("%d tasks started under epochs that no claim won; the first: %+v", len(unclaimed), unclaimed[0]))
	case !hasKind(history.TaskStarted)(events):
		add(ObjectClaim, NotRun, "no task started")
	default:
		add(ObjectClaim, Passed, "")
	}
	return rows
}

// checkLinearizable searches for a linearization of the operations. Without
// operations, or if the search takes longer than linearizationTimeout, the verdict
// is NotRun.
func checkLinearizable(model porcupine.Model, ops []porcupine.Operation) (Verdict, string) {
	if len(ops) == 0 {
		return NotRun, "no operation on the object"
	}
	switch porcupine.CheckOperationsTimeout(model, ops, linearizationTimeout) {
	case porcupine.Ok:
		return Passed, ""
	case porcupine.Illegal:
		return Failed, "the operations on some object are not linearizable"
	}
	return NotRun, "no verdict in " + linearizationTimeout.String()
}

// checkPromises checks the history of one cell and returns one row per promise and
// all violations.
func checkPromises(cell Row, events []history.Event, opts history.Options) ([]Row, []history.Violation) {
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
		case !exercised[c.Promise](events):
			row.Verdict = NotRun
			row.Detail = "the run gave nothing to check"
		default:
			row.Verdict = Passed
		}
		rows = append(rows, row)
	}
	return rows, all
}

// notRunRows returns the rows of a cell that wasn't run or whose step wasn't
// reached. The row on recovery is not included; see appendRecoveryRow.
func notRunRows(cell Row, reason string) []Row {
	var rows []Row
	for _, promise := range promiseNames() {
		if promise == PromiseRecovery {
			continue
		}
		row := cell
		row.Promise = promise
		row.Verdict = NotRun
		row.Detail = reason
		rows = append(rows, row)
	}
	return rows
}
