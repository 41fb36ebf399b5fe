package cell

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// casInput is a compare-and-set write of a claim.
type casInput struct {
	key      string
	expected uint64
}

// casOutput is the result that the writer read from the log.
type casOutput struct {
	valid  bool
	offset uint64
}

// casModel models one compare-and-set register per key.
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

// transferInput is a transfer of balance or, if amount is 0, a final read.
type transferInput struct {
	from, to string
	amount   int64
}

// balances are the balances of a team in the three zones.
type balances [3]int64

func zoneIndex(name string) int { return int(name[0] - 'a') }

// transferModel models the balances of one team that only transfers change.
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

// linearizabilityModel has daemons that write claims and transfers and read the
// results from the log. No append is lost, because porcupine has to know which
// writes take effect.
type linearizabilityModel struct {
	unreliableLog
	mutate    mutation
	daemons   []*State
	pending   map[string]*porcupine.Operation
	claims    []porcupine.Operation
	transfers []porcupine.Operation
	clock     int64
}

func (m *linearizabilityModel) run() {
	for len(m.choices) > 0 {
		m.clock++
		n := m.next(len(m.daemons))
		s := m.daemons[n]
		zoneName := modelZones[m.next(3)]
		claim, _ := s.Claim(zoneName)
		m.lastSerial++
		id := fmt.Sprint(n, "/", m.lastSerial)
		switch m.next(8) {
		case 0:
			m.begin(n, id, s, claimRecord(zoneName, id, claim.Epoch), casInput{key: zoneName, expected: claim.Epoch})
		case 1:
			in := transferInput{from: zoneName, to: modelZones[m.next(3)], amount: 1 + int64(m.next(3))}
			if in.from != in.to && claim.Epoch != 0 {
				m.begin(n, id, s, &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{
					ID: id, Team: "red", From: in.from, To: in.to, Amount: in.amount, Epoch: claim.Epoch,
				}}, in)
			}
		case 2:
			m.deliverDelayed()
		default:
			m.read(n, s)
		}
	}
	m.inFlight = nil
	for n, s := range m.daemons {
		for s.Applied() < uint64(len(m.log)) {
			m.read(n, s)
		}
		var last balances
		for name, balance := range s.Allotments("red") {
			last[zoneIndex(name)] = balance
		}
		m.transfers = append(m.transfers, porcupine.Operation{ClientId: n, Input: transferInput{}, Output: last, Call: m.clock + 1, Return: m.clock + 2})
	}
}

func (m *linearizabilityModel) begin(n int, id string, s *State, env *record.Envelope, input any) {
	data, err := s.Encode(env)
	if err != nil {
		panic(err)
	}
	m.inFlight = append(m.inFlight, appendedRecord{id: id, data: data})
	m.pending[id] = &porcupine.Operation{ClientId: n, Input: input, Call: m.clock}
}

// read applies the next record and completes the pending operation that wrote
// it.
func (m *linearizabilityModel) read(n int, s *State) {
	next := s.Applied() + 1
	if next > uint64(len(m.log)) {
		return
	}
	id := m.log[next-1].id
	effect := m.apply(s, next, m.mutate)
	op := m.pending[id]
	if op == nil || op.ClientId != n {
		return
	}
	delete(m.pending, id)
	op.Return = m.clock
	switch {
	case effect.Kind == record.KindClaim:
		op.Output = casOutput{valid: effect.Valid, offset: effect.Offset}
		m.claims = append(m.claims, *op)
	case effect.Valid || effect.Void == record.VoidBalance:
		op.Output = effect.Valid
		m.transfers = append(m.transfers, *op)
	}
}

func TestClaimsAndAllotmentsAreLinearizable(t *testing.T) {
	tests := []struct {
		name              string
		mutate            mutation
		claims, transfers bool
	}{
		{"safe", nil, true, true},
		{"a claim needs no current predecessor", claimNeedsNoPredecessor, false, true},
		{"a transfer of an old epoch is valid", oldEpochTransferIsValid, true, true},
		{"a transfer moves half of its amount", transferMovesHalf, true, false},
	}
	for _, test := range tests {
		claims, transfers := true, true
		for seed := range uint64(12) {
			base := newLimitModel(t, nil, senderFaults{}, nil)
			m := &linearizabilityModel{
				unreliableLog: unreliableLog{choices: randomSchedule(seed, 400), log: base.log[:1]},
				mutate:        test.mutate, pending: map[string]*porcupine.Operation{},
				daemons: []*State{New(), New(), New()},
			}
			for _, s := range m.daemons {
				m.read(0, s)
			}
			m.run()
			claims = claims && porcupine.CheckOperations(casModel, m.claims)
			transfers = transfers && porcupine.CheckOperations(transferModel, m.transfers)
		}
		if claims != test.claims || transfers != test.transfers {
			t.Errorf("%s: claims linearizable %v, transfers %v", test.name, claims, transfers)
		}
	}
}

// transferMovesHalf makes the reader apply only half the amount of a transfer.
func transferMovesHalf(_ *State, _ uint64, id string, env *record.Envelope) string {
	if env.Kind == record.KindTransfer {
		env.Transfer.Amount = (env.Transfer.Amount + 1) / 2
	}
	return id
}
