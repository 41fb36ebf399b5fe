package matrix

import (
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/history"
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
	for _, c := range history.Checkers() {
		row := cell
		row.Promise = c.Promise
		row.Verdict = NotRun
		row.Detail = why
		rows = append(rows, row)
	}
	return rows
}
