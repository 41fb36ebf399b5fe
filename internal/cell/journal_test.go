package cell

import (
	"fmt"
	"math/rand/v2"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// choices is a schedule: a sequence of random numbers that determines every
// nondeterministic decision of a run.
type choices []uint32

// next returns the next choice, from 0 to n-1, and 0 at the end of the
// schedule.
func (c *choices) next(n int) int {
	if len(*c) == 0 {
		return 0
	}
	v := (*c)[0]
	*c = (*c)[1:]
	return int(v % uint32(n))
}

// mutation modifies a record before a State applies it, which simulates an
// unsafe rule in the State. It returns the id to apply the record with.
type mutation func(s *State, offset uint64, id string, env *record.Envelope) string

// appendedRecord is the id and the encoded record of an append.
type appendedRecord struct {
	id   string
	data []byte
}

// unreliableLog is a log whose appends may be lost, delayed or duplicated.
type unreliableLog struct {
	choices
	log        []appendedRecord
	inFlight   []appendedRecord
	lastSerial int
}

// send appends a record created by s: once, twice, delayed or not at all.
func (l *unreliableLog) send(s *State, env *record.Envelope) {
	data, err := s.Encode(env)
	if err != nil {
		panic(err)
	}
	l.lastSerial++
	r := appendedRecord{id: fmt.Sprint("i", l.lastSerial), data: data}
	switch l.next(8) {
	case 0:
		return
	case 1:
		l.inFlight = append(l.inFlight, r)
		return
	case 2:
		l.inFlight = append(l.inFlight, r)
	}
	l.log = append(l.log, r)
}

// deliverDelayed appends one of the delayed records.
func (l *unreliableLog) deliverDelayed() {
	if len(l.inFlight) == 0 {
		return
	}
	i := len(l.inFlight) - 1 - l.next(min(4, len(l.inFlight)))
	r := l.inFlight[i]
	l.inFlight = append(l.inFlight[:i:i], l.inFlight[i+1:]...)
	l.log = append(l.log, r)
}

// apply applies the record at offset to s, modified by mutate unless it is nil.
func (l *unreliableLog) apply(s *State, offset uint64, mutate mutation) Effect {
	r := l.log[offset-1]
	if mutate == nil {
		return s.Apply(offset, r.id, r.data)
	}
	env, err := record.Decode(r.data)
	if err != nil {
		return s.Apply(offset, r.id, r.data)
	}
	id := mutate(s, offset, r.id, env)
	data, err := record.Encode(env)
	if err != nil {
		panic(err)
	}
	return s.Apply(offset, id, data)
}

// randomSchedule returns a schedule of n choices, determined by seed.
func randomSchedule(seed uint64, n int) []uint32 {
	source := rand.New(rand.NewPCG(seed, 0))
	schedule := make([]uint32, n)
	for i := range schedule {
		schedule[i] = source.Uint32()
	}
	return schedule
}
