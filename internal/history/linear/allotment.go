package linear

import (
	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// takeInput takes (+1) or returns (-1) one unit of a team's upper limit.
type takeInput struct {
	team  string
	delta int64
}

// AllotmentModel is a counting semaphore per team over the whole fleet: a
// start takes a unit, an end returns it, and no more than limit(team) are
// taken at once. It fits runs in which limits don't change.
func AllotmentModel(limit func(team string) int64) porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(op porcupine.Operation) string {
			return op.Input.(takeInput).team
		}),
		Init: func() any { return int64(0) },
		Step: func(state, input, _ any) (bool, any) {
			in := input.(takeInput)
			taken := state.(int64) + in.delta
			return taken >= 0 && taken <= limit(in.team), taken
		},
	}
}

// AllotmentOperations returns the takes and returns of the tasks whose start
// and end were both recorded by the same endpoint.
func AllotmentOperations(events []history.Event) []porcupine.Operation {
	type attempt struct{ endpoint, incarnation, task string }
	started := map[attempt]history.Event{}
	var ops []porcupine.Operation
	for _, e := range events {
		id := attempt{e.Endpoint, e.Incarnation, e.Task}
		switch e.Kind {
		case history.TaskStarted:
			started[id] = e
			ops = append(ops, point(e.UnixNano, takeInput{e.Team, 1}))
		case history.TaskEnded:
			if start, known := started[id]; known {
				ops = append(ops, point(e.UnixNano, takeInput{start.Team, -1}))
				delete(started, id)
			}
		}
	}
	return number(ops)
}
