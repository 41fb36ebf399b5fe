package history

import "fmt"

// NotRunNeverStarts checks that work that was answered "not run" has not been
// started before the answer, and is not started after it unless the caller sends
// it again. It covers jobs whose outcome is "not run" as well.
func NotRunNeverStarts(events []Event, _ Options) []Violation {
	denied := map[string]Event{}
	started := map[string]Event{}
	var found []Violation
	report := func(answer, start Event) {
		found = append(found, Violation{
			Promise: PromiseNotRunTrue,
			Detail:  fmt.Sprintf("%s was answered %q (%s) but started on %s", start.Work, VerdictNotRun, answer.Code, start.Endpoint),
			Events:  []Event{answer, start},
		})
	}
	for _, e := range sorted(events) {
		switch e.Kind {
		case RequestSent:
			delete(denied, e.Ticket)
		case RequestAnswered, JobFinished:
			id := e.Ticket
			if e.Kind == JobFinished {
				id = e.Work
			}
			if id == "" || e.Verdict != VerdictNotRun {
				continue
			}
			denied[id] = e
			if start, ran := started[id]; ran {
				report(e, start)
			}
		case TaskStarted:
			for _, id := range workIDs(e) {
				started[id] = e
				if answer, wasDenied := denied[id]; wasDenied {
					report(answer, e)
				}
			}
		}
	}
	return found
}

// workIDs returns the distinct ids by which callers may refer to a task.
func workIDs(e Event) []string {
	ids := []string{e.Work}
	if e.Ticket != "" && e.Ticket != e.Work {
		ids = append(ids, e.Ticket)
	}
	return ids
}
