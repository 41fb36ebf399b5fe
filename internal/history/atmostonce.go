package history

import "fmt"

// AtMostOnce checks that work which its caller marked non-idempotent is
// started at most once over all endpoints and attempts. Where no caller's
// event names the work, the endpoint's word on idempotency counts.
func AtMostOnce(events []Event, _ Options) []Violation {
	said := callersWord(events)
	first := map[string]Event{}
	var found []Violation
	for _, e := range sorted(events) {
		if e.Kind != TaskStarted || idempotent(e, said) {
			continue
		}
		before, again := first[e.Work]
		if !again {
			first[e.Work] = e
			continue
		}
		found = append(found, Violation{
			Promise: PromiseOnce,
			Detail:  fmt.Sprintf("non-idempotent work %s started on %s and again on %s", e.Work, before.Endpoint, e.Endpoint),
			Events:  []Event{before, e},
		})
	}
	return found
}

// callersWord returns what callers said on idempotency, by ticket and job.
// A ticket that was ever sent as non-idempotent is.
func callersWord(events []Event) map[string]bool {
	said := map[string]bool{}
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
		before, known := said[id]
		said[id] = e.Idempotent && (!known || before)
	}
	return said
}

func idempotent(e Event, said map[string]bool) bool {
	for _, id := range []string{jobOf(e.Work), e.Ticket, e.Work} {
		if word, ok := said[id]; ok && id != "" {
			return word
		}
	}
	return e.Idempotent
}
