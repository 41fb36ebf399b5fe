package linear

import (
	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// fenceInput is a start under an epoch at one endpoint.
type fenceInput struct {
	endpoint string
	epoch    uint64
}

// FenceModel is the fencing register of an endpoint: once it has run a task
// under one epoch it runs none under a lower one.
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

// FenceOperations returns the starts by endpoint incarnation.
func FenceOperations(events []history.Event) []porcupine.Operation {
	var ops []porcupine.Operation
	for _, e := range events {
		if e.Kind == history.TaskStarted {
			in := fenceInput{e.Endpoint + " " + e.Incarnation, e.Epoch}
			ops = append(ops, point(e.UnixNano, in))
		}
	}
	return number(ops)
}

// ClaimedEpochs replays the claims of a log as compare-and-swap operations on
// one register per availability zone and returns the epochs that were valid:
// a claim wins if it names the current epoch, and its epoch is its offset.
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

// UnclaimedStarts returns the starts under an epoch that no claim won.
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
