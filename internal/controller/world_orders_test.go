package controller

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// Ways of an order.
const (
	wayLow  = time.Millisecond
	wayHigh = 15 * time.Millisecond
)

// send sends an order; a daemon that can't show its term current sends none.
func (w *world) send(t *simTerm, o Order) {
	valid := w.now-t.proven <= w.bounds.TermGrace
	switch o := o.(type) {
	case *AskOrder:
		w.answerQuestion(t, o)
	case *StartOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome {
			out := w.start(e, t.epoch, o)
			// The stop of a cancelled job's run may overtake its start.
			overtaken := out.Reason == ReasonSuperseded && w.jobs[o.Key.Task.Job].cancelled > 0
			if out.Fate == FateRefused && !overtaken {
				w.refused++
			}
			return out
		},
			func(out Outcome) { t.core.StartAnswered(w.instant(), o, out) })
	case *StopOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome { return w.stop(e, t.epoch, o) },
			func(out Outcome) { t.core.StopAnswered(w.instant(), o, out) })
	case *HoldOrder:
		w.hold(t, o, valid)
	case *PaceOrder:
		w.carry(t, o.Target, valid, orderWait, func(e *simEndpoint) Outcome { return w.pace(e, t.epoch, o) },
			func(out Outcome) { t.core.PaceAnswered(w.instant(), o, out) })
	default:
		w.t.Fatalf("unknown order %T", o)
	}
}

const orderWait = 400 * time.Millisecond

// carry brings an order to an endpoint and its answer back.
func (w *world) carry(t *simTerm, target Target, valid bool, wait time.Duration, do func(*simEndpoint) Outcome, back func(Outcome)) {
	decided := w.now
	answer := func(delay time.Duration, out Outcome) {
		w.at(delay, func() {
			w.process(t, func() {
				if w.now-decided > wait && out.Fate != FateNotSent {
					out = Outcome{Fate: FateUnanswered}
				}
				if out.Fate == FateRefused && out.Reason == ReasonFenced {
					t.dead = true
					return
				}
				back(out)
				w.pump(t)
			})
		})
	}
	if !valid {
		answer(0, Outcome{Fate: FateNotSent})
		return
	}
	w.process(t, func() {
		if w.now-decided > wait {
			answer(0, Outcome{Fate: FateNotSent})
			return
		}
		w.deliver(target, decided+wait-w.now, do, answer)
	})
}

// process does what takes the processor of a term's daemon, once it is free.
func (w *world) process(t *simTerm, do func()) {
	if t.dead {
		return
	}
	if w.orderWork == 0 {
		w.thaw(t, do)
		return
	}
	t.busy = max(t.busy, w.now) + w.orderWork
	w.at(t.busy-w.now, func() {
		if !t.dead {
			w.thaw(t, do)
		}
	})
}

// deliver brings an order that was sent to an endpoint; its answer is waited
// for that long.
func (w *world) deliver(target Target, wait time.Duration, do func(*simEndpoint) Outcome, answer func(time.Duration, Outcome)) {
	sent := w.now
	e := w.endpoints[target.ID]
	born := e.born
	execute := func() Outcome {
		if !e.up || e.cut {
			return Outcome{Fate: FateUnanswered}
		}
		out := do(e)
		out.Reading = fleet.ClockReading{Sent: sent, Received: w.now, Clock: e.clock(w.now)}
		return out
	}
	switch {
	case w.chance(w.faults.lost):
		answer(wait, Outcome{Fate: FateUnanswered})
	case w.chance(w.faults.late):
		w.at(w.between(2*time.Second, 12*time.Second), func() {
			// An order names the endpoint by its id alone, so that it may meet
			// a new life; one that is that late is taken not to.
			if e.born == born {
				execute()
			}
		})
		answer(wait, Outcome{Fate: FateUnanswered})
	case w.chance(w.faults.mute):
		w.at(w.between(wayLow, wayHigh), func() { execute() })
		answer(wait, Outcome{Fate: FateUnanswered})
	default:
		w.at(w.between(wayLow, wayHigh), func() {
			out := execute()
			if out.Fate == FateUnanswered {
				answer(max(wait-(w.now-sent), 0), out)
				return
			}
			out.Reading.Received = w.now + wayLow
			answer(w.between(wayLow, wayHigh), out)
		})
	}
}

// thaw runs what a frozen daemon does once it goes on.
func (w *world) thaw(t *simTerm, do func()) {
	if w.now < t.frozen {
		w.at(t.frozen-w.now, func() {
			if !t.dead {
				do()
			}
		})
		return
	}
	do()
}

// fenced raises an endpoint's fence or refuses a lower one.
func (e *simEndpoint) fenced(epoch int64) bool {
	if epoch < e.fence {
		return true
	}
	e.fence = epoch
	return false
}

func refusal(r Reason) Outcome { return Outcome{Fate: FateRefused, Reason: r} }

// answerQuestion answers which endpoints may run a step: about two thirds, the
// same ones each time.
func (w *world) answerQuestion(t *simTerm, o *AskOrder) {
	w.at(o.Cost+w.between(wayLow, wayHigh), func() {
		if t.dead {
			return
		}
		answer := EligibilityAnswer{Permits: make(map[string]string), Valid: 2 * time.Second}
		for _, id := range o.Endpoints {
			if sum := int(o.Step[0]) + int(o.Step[7]) + int(id[len(id)-1]); sum%3 > 0 {
				answer.Permits[id] = "permit"
			}
		}
		w.thaw(t, func() {
			t.core.AskAnswered(w.instant(), o, answer, nil)
			w.pump(t)
		})
	})
}
