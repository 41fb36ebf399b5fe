// Package linear models the linearizable objects of the system for the
// linearizability checker porcupine, and converts a history to operations on
// them.
package linear

import (
	"cmp"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// ticketInput is an operation on a ticket: an execution by an endpoint or a
// request by a caller. A ticket identifies the work of a request over all retries.
type ticketInput struct {
	ticket    string
	execution bool
}

// TicketModel returns the model of a register that is written at most once: an
// execution changes "not run" to "run", the answer "done" requires "run", the
// answer "not run" requires "not run", and the answer "unknown" allows both.
func TicketModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(op porcupine.Operation) string {
			return op.Input.(ticketInput).ticket
		}),
		Init: func() any { return false },
		Step: func(state, input, output any) (bool, any) {
			ran := state.(bool)
			if input.(ticketInput).execution {
				return !ran, true
			}
			switch output.(string) {
			case history.VerdictDone:
				return ran, ran
			case history.VerdictNotRun:
				return !ran, ran
			}
			return true, ran
		},
	}
}

// TicketOperations returns the operations on the tickets of non-idempotent
// requests; it leaves out the tickets of jobs. A request without an answer may
// take effect at any time after it was sent.
func TicketOperations(events []history.Event) []porcupine.Operation {
	sent := map[string]history.Event{}
	nonIdempotent := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.RequestSent && e.Ticket != "" && e.Tasks == 0 {
			sent[e.Request] = e
			nonIdempotent[e.Ticket] = !e.Idempotent
		}
	}
	var ops []porcupine.Operation
	answered := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case history.TaskStarted:
			if nonIdempotent[e.Ticket] {
				ops = append(ops, instantOperation(e.UnixNano, ticketInput{e.Ticket, true}))
			}
		case history.RequestAnswered:
			request, known := sent[e.Request]
			if !known || !nonIdempotent[request.Ticket] || answered[e.Request] {
				continue
			}
			answered[e.Request] = true
			ops = append(ops, porcupine.Operation{
				Input: ticketInput{request.Ticket, false}, Call: request.UnixNano,
				Output: e.Verdict, Return: e.UnixNano,
			})
		}
	}
	for id, request := range sent {
		if !nonIdempotent[request.Ticket] || answered[id] {
			continue
		}
		ops = append(ops, porcupine.Operation{
			Input: ticketInput{request.Ticket, false}, Call: request.UnixNano,
			Output: history.VerdictUnknown, Return: math.MaxInt64,
		})
	}
	return assignClients(ops)
}

// instantOperation returns an operation that takes effect at one time.
func instantOperation(at int64, input any) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: at, Return: at}
}

// assignClients sorts the operations by call time and gives each its own client
// id, since the operations of one caller may overlap.
func assignClients(ops []porcupine.Operation) []porcupine.Operation {
	slices.SortStableFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for i := range ops {
		ops[i].ClientId = i
	}
	return ops
}

// partitionBy returns a function that splits operations by the object that key
// returns for them.
func partitionBy(key func(porcupine.Operation) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(ops []porcupine.Operation) [][]porcupine.Operation {
		index := map[string]int{}
		var out [][]porcupine.Operation
		for _, op := range ops {
			k := key(op)
			i, known := index[k]
			if !known {
				i = len(out)
				index[k] = i
				out = append(out, nil)
			}
			out[i] = append(out[i], op)
		}
		return out
	}
}
