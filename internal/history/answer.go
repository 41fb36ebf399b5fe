package history

import "fmt"

// AnswersCorrect checks that every answer belongs to a request that was sent,
// that no sending of a request has two answers, and that the output of a "done"
// answer is the complete, correct output for the input of that request.
func AnswersCorrect(events []Event, opts Options) []Violation {
	sent := map[string]Event{}
	answered := map[string]Event{}
	var found []Violation
	report := func(detail string, evidence ...Event) {
		found = append(found, Violation{Promise: PromiseAnswer, Detail: detail, Events: evidence})
	}
	for _, e := range sorted(events) {
		switch e.Kind {
		case RequestSent:
			sent[e.Request] = e
		case RequestAnswered:
			request, known := sent[e.Request]
			if !known {
				report(fmt.Sprintf("answer to request %q that was never sent", e.Request), e)
				continue
			}
			if before, twice := answered[e.Request]; twice {
				report(fmt.Sprintf("request %s was answered twice", e.Request), before, e)
			}
			answered[e.Request] = e
			if e.Ticket != "" && request.Ticket != "" && e.Ticket != request.Ticket {
				report(fmt.Sprintf("request %s got the answer to ticket %s", e.Request, e.Ticket), request, e)
			}
			if detail := wrongOutput(request, e, opts); detail != "" {
				report(detail, request, e)
			}
		case JobFinished:
			if detail := wrongOutput(e, e, opts); detail != "" {
				report(detail, e)
			}
		}
	}
	return found
}

// CodeFailed is the code of a "done" answer to work that ran and failed, which
// has no output.
const CodeFailed = "task_failed"

// wrongOutput describes the fault of a "done" answer with an incorrect output. It
// returns "" if the output is correct or can't be checked.
func wrongOutput(request, answer Event, opts Options) string {
	if answer.Verdict != VerdictDone || answer.Job != "" && answer.Kind == RequestAnswered {
		return ""
	}
	if answer.Code == CodeFailed {
		return ""
	}
	want := request.ExpectSum
	if want == "" && opts.Expect != nil {
		want = opts.Expect(request.InputSum)
	}
	if want == "" || want == answer.OutputSum {
		return ""
	}
	return fmt.Sprintf("request %s: output sum is %q, want %q", answer.Request+answer.Work, answer.OutputSum, want)
}
