package endpoint

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxParts bounds the parts of one answer.
const MaxParts = 1 << 16

// decode parses the body of a response.
func decode[T any](body []byte) (*T, error) {
	out := new(T)
	if err := json.Unmarshal(body, out); err != nil {
		return nil, errors.Wrap(err, "decode response")
	}
	return out, nil
}

// validEvents returns the events whose part numbers fit, in place.
func validEvents(events []Event) []Event {
	valid := events[:0]
	for _, event := range events {
		if event.valid() {
			valid = append(valid, event)
		}
	}
	return valid
}

// valid reports whether e names a task and a part of a bounded answer.
func (e *Event) valid() bool {
	if e.ID == "" || e.Parts < 0 || e.Parts > MaxParts {
		return false
	}
	if e.Parts == 0 {
		return e.Part == 0 && len(e.Data) == 0
	}
	return e.Part >= 0 && e.Part < e.Parts
}
