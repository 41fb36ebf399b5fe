package linear

import (
	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// allotmentInput takes (+1) or returns (-1) one unit of a team's upper limit.
type allotmentInput struct {
	team  string
	delta int64
}

// AllotmentModel returns the model of a counting semaphore per team over the whole
// fleet: the start of a task takes a unit, its end returns it, and at most
// limit(team) units are taken at any time. It applies only to runs in which limits
// don't change.
func AllotmentModel(limit func(team string) int64) porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(op porcupine.Operation) string {
			return op.Input.(allotmentInput).team
		}),
		Init: func() any { return int64(0) },
		Step: func(state, input, _ any) (bool, any) {
			in := input.(allotmentInput)
			taken := state.(int64) + in.delta
			return taken >= 0 && taken <= limit(in.team), taken
		},
	}
}

// AllotmentOperations returns an operation that takes a unit for each start of a
// task, and one that returns it for each end that the same incarnation of the
// endpoint recorded.
func AllotmentOperations(events []history.Event) []porcupine.Operation {
	type attempt struct{ endpoint, incarnation, task string }
	started := map[attempt]history.Event{}
	var ops []porcupine.Operation
	for _, e := range events {
		id := attempt{e.Endpoint, e.Incarnation, e.Task}
		switch e.Kind {
		case history.TaskStarted:
			started[id] = e
			ops = append(ops, instantOperation(e.UnixNano, allotmentInput{e.Team, 1}))
		case history.TaskEnded:
			if start, known := started[id]; known {
				ops = append(ops, instantOperation(e.UnixNano, allotmentInput{start.Team, -1}))
				delete(started, id)
			}
		}
	}
	return assignClients(ops)
}
