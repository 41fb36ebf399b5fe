package cell

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// casInput is a write of a claim or a configuration.
type casInput struct {
	key      string
	expected uint64
}

// casOutput is what its writer read back.
type casOutput struct {
	valid  bool
	offset uint64
}

// casModel is a register per key that is written by compare-and-set.
var casModel = porcupine.Model{
	Partition: partitionBy(func(input any) string { return input.(casInput).key }),
	Init:      func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(casInput), output.(casOutput)
		if out.valid {
			return in.expected == current, out.offset
		}
		return in.expected != current, current
	},
}

// transferInput is a transfer of allotment or, with amount 0, a last read.
type transferInput struct {
	from, to string
	amount   int64
}

// balances is the state of a team's allotments.
type balances [3]int64

func zoneIndex(name string) int { return int(name[0] - 'a') }

// transferModel is the allotments of one team under transfers only.
var transferModel = porcupine.Model{
	Init: func() any { return balances{3, 3, 3} },
	Step: func(state, input, output any) (bool, any) {
		current, in := state.(balances), input.(transferInput)
		if in.amount == 0 {
			return output.(balances) == current, current
		}
		enough := current[zoneIndex(in.from)] >= in.amount
		if !output.(bool) {
			return !enough, current
		}
		current[zoneIndex(in.from)] -= in.amount
		current[zoneIndex(in.to)] += in.amount
		return enough, current
	},
}

func partitionBy(key func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		groups := map[string][]porcupine.Operation{}
		for _, op := range history {
			groups[key(op.Input)] = append(groups[key(op.Input)], op)
		}
		var out [][]porcupine.Operation
		for _, group := range groups {
			out = append(out, group)
		}
		return out
	}
}

// linearWorld has daemons that write claims and transfers and take what they
// read back for the outcome. Nothing is lost in it: porcupine has to know
// which writes have an effect.
type linearWorld struct {
	journal
	mutate  mutation
	daemons []*State
	open    map[string]*porcupine.Operation
	claims  []porcupine.Operation
	moves   []porcupine.Operation
	clock   int64
}

func (w *linearWorld) run() {
	for len(w.choices) > 0 {
		w.clock++
		n := w.next(len(w.daemons))
		s := w.daemons[n]
		zoneName := worldZones[w.next(3)]
		claim, _ := s.Epoch(zoneName)
		w.serial++
		id := fmt.Sprint(n, "/", w.serial)
		switch w.next(8) {
		case 0:
			w.begin(n, id, s, claimOf(zoneName, id, claim.Epoch), casInput{key: zoneName, expected: claim.Epoch})
		case 1:
			in := transferInput{from: zoneName, to: worldZones[w.next(3)], amount: 1 + int64(w.next(3))}
			if in.from != in.to && claim.Epoch != 0 {
				w.begin(n, id, s, &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{
					ID: id, Team: "red", From: in.from, To: in.to, Amount: in.amount, Epoch: claim.Epoch,
				}}, in)
			}
		case 2:
			w.deliver()
		default:
			w.read(n, s)
		}
	}
	w.inFlight = nil
	for n, s := range w.daemons {
		for s.Applied() < uint64(len(w.log)) {
			w.read(n, s)
		}
		var last balances
		for name, balance := range s.Allotments("red") {
			last[zoneIndex(name)] = balance
		}
		w.moves = append(w.moves, porcupine.Operation{ClientId: n, Input: transferInput{}, Output: last, Call: w.clock + 1, Return: w.clock + 2})
	}
}

func (w *linearWorld) begin(n int, id string, s *State, env *record.Envelope, input any) {
	data, err := s.Encode(env)
	if err != nil {
		panic(err)
	}
	w.inFlight = append(w.inFlight, logged{id: id, data: data})
	w.open[id] = &porcupine.Operation{ClientId: n, Input: input, Call: w.clock}
}

// read applies a record and ends the write that it was.
func (w *linearWorld) read(n int, s *State) {
	next := s.Applied() + 1
	if next > uint64(len(w.log)) {
		return
	}
	id := w.log[next-1].id
	effect := w.apply(s, next, w.mutate)
	op := w.open[id]
	if op == nil || op.ClientId != n {
		return
	}
	delete(w.open, id)
	op.Return = w.clock
	switch {
	case effect.Kind == record.KindClaim:
		op.Output = casOutput{valid: effect.Valid, offset: effect.Offset}
		w.claims = append(w.claims, *op)
	case effect.Valid || effect.Void == record.VoidBalance:
		op.Output = effect.Valid
		w.moves = append(w.moves, *op)
	}
}

func TestClaimsAndAllotmentsAreLinearizable(t *testing.T) {
	tests := []struct {
		name          string
		mutate        mutation
		claims, moves bool
	}{
		{"safe", nil, true, true},
		{"a claim needs no current predecessor", claimNeedsNoPredecessor, false, true},
		{"a transfer of an old epoch counts", oldTransferCounts, true, true},
		{"a transfer moves what its giver lacks", transferMovesHalf, true, false},
	}
	for _, test := range tests {
		claims, moves := true, true
		for seed := range uint64(12) {
			base := newLimitWorld(t, nil, giverRules{}, nil)
			w := &linearWorld{
				journal: journal{choices: randomSchedule(seed, 400), log: base.log[:1]},
				mutate:  test.mutate, open: map[string]*porcupine.Operation{},
				daemons: []*State{New(), New(), New()},
			}
			for _, s := range w.daemons {
				w.read(0, s)
			}
			w.run()
			claims = claims && porcupine.CheckOperations(casModel, w.claims)
			moves = moves && porcupine.CheckOperations(transferModel, w.moves)
		}
		if claims != test.claims || moves != test.moves {
			t.Errorf("%s: claims linearizable %v, transfers %v", test.name, claims, moves)
		}
	}
}

// transferMovesHalf has a reader take a transfer for half of its amount.
func transferMovesHalf(_ *State, _ uint64, id string, env *record.Envelope) string {
	if env.Kind == record.KindTransfer {
		env.Transfer.Amount = (env.Transfer.Amount + 1) / 2
	}
	return id
}
