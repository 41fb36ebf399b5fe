package history

import "fmt"

// RefusedFenced is the Code of a TaskRefused event if the sender's epoch was
// superseded. Such a task doesn't count as offered to the endpoint.
const RefusedFenced = "fenced"

// NoWorkWhileLeaving checks that an endpoint is offered no new task later than
// LeavingBound after it announced that it is leaving.
func NoWorkWhileLeaving(events []Event, _ Options) []Violation {
	leavingSince := map[endpointIncarnation]Event{}
	var found []Violation
	for _, e := range sorted(events) {
		id := endpointIncarnation{e.Endpoint, e.Incarnation}
		switch e.Kind {
		case EndpointLeaving:
			if _, known := leavingSince[id]; !known {
				leavingSince[id] = e
			}
		case TaskStarted, TaskRefused:
			leaving, known := leavingSince[id]
			if !known || e.UnixNano <= leaving.UnixNano+int64(LeavingBound) {
				continue
			}
			if e.Kind == TaskRefused && e.Code == RefusedFenced {
				continue
			}
			found = append(found, Violation{
				Promise: PromiseLeaving,
				Detail:  fmt.Sprintf("endpoint %s got task %s after it had been leaving for more than %s", e.Endpoint, e.Task, LeavingBound),
				Events:  []Event{leaving, e},
			})
		}
	}
	return found
}
