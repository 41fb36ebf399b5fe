package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
)

// Pace and shape of the requests that are hardest to answer truthfully.
const (
	hardPause = 250 * time.Millisecond
	// tightDeadline ends while the work is queued, sent, running or answered.
	tightDeadline = 40 * time.Millisecond
	tightWork     = 25 * time.Millisecond
	cancelWork    = 300 * time.Millisecond
	cancelAfter   = 100 * time.Millisecond
	hardPatience  = 10 * time.Second
)

// startHardLoad sends non-idempotent requests through two entries at once,
// with deadlines too short, cancelled under way, and with keys that never
// worked.
func (w *world) startHardLoad(ctx context.Context) {
	w.repeat(ctx, hardPause, func(i int) { w.sendTwice(ctx, fmt.Appendf(nil, "twice %d", i)) })
	w.repeat(ctx, hardPause, func(i int) { w.sendTight(ctx, time.Duration(i%5)*tightDeadline/4) })
	w.repeat(ctx, hardPause, func(int) { w.sendAndCancel(ctx) })
	w.repeat(ctx, hardPause, func(int) { w.sendUnknownKey(ctx) })
}

// ticketed asks any entry for a ticket of queue labels.
func (w *world) ticketed(ctx context.Context, entries []harness.Entry) string {
	ticket, err := w.ink.Ticket(harness.Within(ctx, hardPatience), entries[0], queueLabel)
	if err != nil {
		return ""
	}
	return ticket
}

// sendTwice sends one request through two entries at the same time.
func (w *world) sendTwice(ctx context.Context, input []byte) {
	entries := w.entriesFrom()
	r := harness.Request{
		Queue: queueLabel, Command: "echo", Input: input, Want: input,
		Deadline: requestDeadline, Ticket: w.ticketed(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	var both sync.WaitGroup
	for _, at := range entries[:2] {
		both.Go(func() { w.ink.Send(harness.Within(w.ctx, hardPatience), at, r) })
	}
	both.Wait()
}

// sendTight sends a request whose deadline is about as long as its work.
func (w *world) sendTight(ctx context.Context, extra time.Duration) {
	entries := w.entriesFrom()
	input := sleepInput(tightWork)
	r := harness.Request{
		Queue: queueLabel, Command: "sleep", Input: input, Want: sleepOutput(input),
		Deadline: tightDeadline + extra, Ticket: w.ticketed(ctx, entries),
	}
	if r.Ticket != "" {
		w.ink.Send(harness.Within(w.ctx, hardPatience), entries[0], r)
	}
}

// sendAndCancel cancels a request through another entry while it is under
// way, and asks again for its outcome.
func (w *world) sendAndCancel(ctx context.Context) {
	entries := w.entriesFrom()
	input := sleepInput(cancelWork)
	r := harness.Request{
		Queue: queueLabel, Command: "sleep", Input: input, Want: sleepOutput(input),
		Deadline: requestDeadline, Ticket: w.ticketed(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	var sending sync.WaitGroup
	sending.Go(func() { w.ink.Send(harness.Within(w.ctx, hardPatience), entries[0], r) })
	harness.Pause(ctx, cancelAfter)
	_ = w.ink.CancelRequest(harness.Within(w.ctx, hardPatience), entries[1], r.Ticket)
	sending.Wait()
}

// sendUnknownKey sends a request with a key that was never granted.
func (w *world) sendUnknownKey(ctx context.Context) {
	entries := w.entriesFrom()
	r := harness.Request{
		Queue: queueLabel, Command: "echo", Input: []byte("forged"),
		Deadline: requestDeadline, Ticket: w.ticketed(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	w.forger.Send(harness.Within(w.ctx, hardPatience), entries[0], r)
}
