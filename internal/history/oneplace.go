package history

import "fmt"

// NoOverlappingAttempts checks that no two attempts at the same work overlap in
// time, on the same endpoint or on different ones. An attempt may start at the
// time at which another ends.
func NoOverlappingAttempts(events []Event, _ Options) []Violation {
	byWork := map[string][]span{}
	var found []Violation
	for _, s := range runningSpans(events) {
		work := s.start.Work
		for _, earlier := range byWork[work] {
			if s.from < earlier.to && earlier.from < s.to {
				found = append(found, Violation{
					Promise: PromiseSingleAttempt,
					Detail: fmt.Sprintf("work %s: attempt %s on %s and attempt %s on %s at once",
						work, earlier.start.Task, earlier.start.Endpoint, s.start.Task, s.start.Endpoint),
					Events: []Event{earlier.start, s.start},
				})
			}
		}
		byWork[work] = append(byWork[work], s)
	}
	return found
}
