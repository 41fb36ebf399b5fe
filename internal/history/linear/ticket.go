// Package linear holds the linearizable objects of the system as porcupine
// models, and turns a history into operations on them.
package linear

import (
	"cmp"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// ticketInput is an operation on a ticket: an execution by an endpoint or a
// request by a caller.
type ticketInput struct {
	ticket    string
	execution bool
}

// TicketModel is a register that is written at most once: an execution turns
// "not run" into "run", a done answer needs "run", a refusal needs "not run",
// and an unknown answer fits both.
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

// TicketOperations returns the operations on the tickets that callers sent as
// non-idempotent requests; the tickets of jobs are none of them. A request without an answer may take effect at any
// time after it was sent.
func TicketOperations(events []history.Event) []porcupine.Operation {
	sent := map[string]history.Event{}
	once := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.RequestSent && e.Ticket != "" && e.Tasks == 0 {
			sent[e.Request] = e
			once[e.Ticket] = !e.Idempotent
		}
	}
	var ops []porcupine.Operation
	answered := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case history.TaskStarted:
			if once[e.Ticket] {
				ops = append(ops, point(e.UnixNano, ticketInput{e.Ticket, true}))
			}
		case history.RequestAnswered:
			request, known := sent[e.Request]
			if !known || !once[request.Ticket] || answered[e.Request] {
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
		if !once[request.Ticket] || answered[id] {
			continue
		}
		ops = append(ops, porcupine.Operation{
			Input: ticketInput{request.Ticket, false}, Call: request.UnixNano,
			Output: history.VerdictUnknown, Return: math.MaxInt64,
		})
	}
	return number(ops)
}

// point is an operation that takes effect at one moment.
func point(at int64, input any) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: at, Return: at}
}

// number orders the operations and gives each a client of its own, since the
// operations of one caller may overlap.
func number(ops []porcupine.Operation) []porcupine.Operation {
	slices.SortStableFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for i := range ops {
		ops[i].ClientId = i
	}
	return ops
}

// partitionBy splits a history by the object that each operation concerns.
func partitionBy(key func(porcupine.Operation) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(ops []porcupine.Operation) [][]porcupine.Operation {
		place := map[string]int{}
		var out [][]porcupine.Operation
		for _, op := range ops {
			k := key(op)
			i, known := place[k]
			if !known {
				i = len(out)
				place[k] = i
				out = append(out, nil)
			}
			out[i] = append(out[i], op)
		}
		return out
	}
}
