package history

import "fmt"

// AtMostOnce checks that work that its caller marked as non-idempotent is started
// at most once over all endpoints and attempts. If no caller's event names the
// work, the endpoint's own event decides whether it is idempotent.
func AtMostOnce(events []Event, _ Options) []Violation {
	declared := declaredIdempotency(events)
	first := map[string]Event{}
	var found []Violation
	for _, e := range sorted(events) {
		if e.Kind != TaskStarted || isIdempotent(e, declared) {
			continue
		}
		before, again := first[e.Work]
		if !again {
			first[e.Work] = e
			continue
		}
		found = append(found, Violation{
			Promise: PromiseAtMostOnce,
			Detail:  fmt.Sprintf("non-idempotent work %s started on %s and again on %s", e.Work, before.Endpoint, e.Endpoint),
			Events:  []Event{before, e},
		})
	}
	return found
}

// declaredIdempotency returns whether callers marked work as idempotent, by
// ticket and job. A ticket that was sent as non-idempotent at least once is not
// idempotent.
func declaredIdempotency(events []Event) map[string]bool {
	declared := map[string]bool{}
	for _, e := range events {
		id := e.Ticket
		if e.Kind == JobAccepted {
			id = e.Job
		} else if e.Kind != RequestSent {
			continue
		}
		if id == "" {
			continue
		}
		before, known := declared[id]
		declared[id] = e.Idempotent && (!known || before)
	}
	return declared
}

// isIdempotent reports whether the work of a start is idempotent.
func isIdempotent(e Event, declared map[string]bool) bool {
	for _, id := range []string{jobOf(e.Work), e.Ticket, e.Work} {
		if idempotent, ok := declared[id]; ok && id != "" {
			return idempotent
		}
	}
	return e.Idempotent
}
