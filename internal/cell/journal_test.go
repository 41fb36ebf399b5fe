package cell

import (
	"fmt"
	"math/rand/v2"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// choices is a schedule: it decides everything that a run leaves open.
type choices []uint32

func (c *choices) next(n int) int {
	if len(*c) == 0 {
		return 0
	}
	v := (*c)[0]
	*c = (*c)[1:]
	return int(v % uint32(n))
}

// mutation changes a record before a State applies it, which turns a rule of
// the State into an unsafe one. It returns the id to be used.
type mutation func(s *State, offset uint64, id string, env *record.Envelope) string

// logged is an append.
type logged struct {
	id   string
	data []byte
}

// journal is a log whose appends may be lost, late or doubled.
type journal struct {
	choices
	log      []logged
	inFlight []logged
	serial   int
}

// send appends a record that s has made: now, later, twice or not at all.
func (j *journal) send(s *State, env *record.Envelope) {
	data, err := s.Encode(env)
	if err != nil {
		panic(err)
	}
	j.serial++
	l := logged{id: fmt.Sprint("i", j.serial), data: data}
	switch j.next(8) {
	case 0:
		return
	case 1:
		j.inFlight = append(j.inFlight, l)
		return
	case 2:
		j.inFlight = append(j.inFlight, l)
	}
	j.log = append(j.log, l)
}

// deliver makes a late append stand.
func (j *journal) deliver() {
	if len(j.inFlight) == 0 {
		return
	}
	i := len(j.inFlight) - 1 - j.next(min(4, len(j.inFlight)))
	l := j.inFlight[i]
	j.inFlight = append(j.inFlight[:i:i], j.inFlight[i+1:]...)
	j.log = append(j.log, l)
}

// apply applies the record at offset.
func (j *journal) apply(s *State, offset uint64, mutate mutation) Effect {
	l := j.log[offset-1]
	if mutate == nil {
		return s.Apply(offset, l.id, l.data)
	}
	env, err := record.Decode(l.data)
	if err != nil {
		return s.Apply(offset, l.id, l.data)
	}
	id := mutate(s, offset, l.id, env)
	data, err := record.Encode(env)
	if err != nil {
		panic(err)
	}
	return s.Apply(offset, id, data)
}

// randomSchedule returns the schedule of a seed.
func randomSchedule(seed uint64, n int) []uint32 {
	source := rand.New(rand.NewPCG(seed, 0))
	schedule := make([]uint32, n)
	for i := range schedule {
		schedule[i] = source.Uint32()
	}
	return schedule
}
