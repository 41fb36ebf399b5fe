package history

import "fmt"

// RefusedFenced is the Code of a TaskRefused event whose sender had been
// superseded; the endpoint has not received such work.
const RefusedFenced = "fenced"

// LeavingGetsNothing checks that an endpoint is offered no new task later
// than LeavingBound after it said that it is leaving.
func LeavingGetsNothing(events []Event, _ Options) []Violation {
	left := map[endpointLife]Event{}
	var found []Violation
	for _, e := range sorted(events) {
		life := endpointLife{e.Endpoint, e.Incarnation}
		switch e.Kind {
		case EndpointLeaving:
			if _, known := left[life]; !known {
				left[life] = e
			}
		case TaskStarted, TaskRefused:
			leaving, known := left[life]
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
