package endpoint

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxParts bounds the number of parts of one task's output.
const MaxParts = 1 << 16

// decode parses the body of a response.
func decode[T any](body []byte) (*T, error) {
	out := new(T)
	if err := json.Unmarshal(body, out); err != nil {
		return nil, errors.Wrap(err, "decode response")
	}
	return out, nil
}

// validate returns an error if the inventory can't be used to account for the
// endpoint's resources.
func (r *AttachResponse) validate() error {
	if r.Incarnation == "" || r.Endpoint == "" {
		return errors.New("inventory lacks the endpoint's id or incarnation")
	}
	if !r.Capacity.valid() {
		return errors.Errorf("a part of the capacity %+v is negative", r.Capacity)
	}
	for _, status := range r.Tasks {
		if status.Task.ID == "" || !status.Task.Size.valid() {
			return errors.Errorf("task %q of size %+v is malformed", status.Task.ID, status.Task.Size)
		}
	}
	return nil
}

// valid reports whether no amount in r is negative.
func (r Resources) valid() bool {
	return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 && r.Slots >= 0
}

// validEvents returns the valid events. It reuses the backing array of events.
func validEvents(events []Event) []Event {
	valid := events[:0]
	for _, event := range events {
		if event.valid() {
			valid = append(valid, event)
		}
	}
	return valid
}

// valid reports whether e names a task, and its part numbers are consistent and
// within MaxParts.
func (e *Event) valid() bool {
	if e.ID == "" || e.Parts < 0 || e.Parts > MaxParts {
		return false
	}
	if e.Parts == 0 {
		return e.Part == 0 && len(e.Data) == 0
	}
	return e.Part >= 0 && e.Part < e.Parts
}
