package linear

import (
	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// fenceInput is the start of a task with an epoch as fencing token at one
// endpoint.
type fenceInput struct {
	endpoint string
	epoch    uint64
}

// FenceModel returns the model of the fencing register of an endpoint: after it
// has started a task with one epoch, it starts none with a lower epoch.
func FenceModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(op porcupine.Operation) string {
			return op.Input.(fenceInput).endpoint
		}),
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			epoch := input.(fenceInput).epoch
			return epoch >= state.(uint64), epoch
		},
	}
}

// FenceOperations returns the starts of tasks, partitioned by endpoint and
// incarnation.
func FenceOperations(events []history.Event) []porcupine.Operation {
	var ops []porcupine.Operation
	for _, e := range events {
		if e.Kind == history.TaskStarted {
			in := fenceInput{e.Endpoint + " " + e.Incarnation, e.Epoch}
			ops = append(ops, instantOperation(e.UnixNano, in))
		}
	}
	return assignClients(ops)
}

// ClaimedEpochs replays the claims of a log as compare-and-swap operations on one
// register per availability zone and returns the valid epochs with their zones. A
// claim wins if it names the current epoch as the previous one, and the offset of
// its record becomes the new epoch.
func ClaimedEpochs(records []loglist.Record) map[uint64]string {
	current := map[string]uint64{}
	valid := map[uint64]string{}
	for _, r := range records {
		e, err := record.Decode(r.Data)
		if err != nil || e.Kind != record.KindClaim {
			continue
		}
		c := e.Claim
		if c.Base != 0 || c.Previous != current[c.Zone] {
			continue
		}
		current[c.Zone] = r.Offset
		valid[r.Offset] = c.Zone
	}
	return valid
}

// UnclaimedStarts returns the starts of tasks with an epoch that no claim won.
func UnclaimedStarts(events []history.Event, valid map[uint64]string) []history.Event {
	var out []history.Event
	for _, e := range events {
		if e.Kind != history.TaskStarted {
			continue
		}
		if _, known := valid[e.Epoch]; !known {
			out = append(out, e)
		}
	}
	return out
}
