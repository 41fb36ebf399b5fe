package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
)

// Interval and timing of the requests whose outcome is hardest to determine.
const (
	edgeCaseInterval = 250 * time.Millisecond
	// tightDeadline is short enough to expire while the request is queued, sent,
	// running or being answered.
	tightDeadline      = 40 * time.Millisecond
	tightTaskDuration  = 25 * time.Millisecond
	cancelTaskDuration = 300 * time.Millisecond
	cancelDelay        = 100 * time.Millisecond
	edgeCaseTimeout    = 10 * time.Second
)

// startEdgeCaseLoad sends non-idempotent requests until ctx ends: through two
// entries at the same time, with deadlines that are about as long as the task,
// cancelled in flight, and with a key that was never granted.
func (tc *testCell) startEdgeCaseLoad(ctx context.Context) {
	tc.repeat(ctx, edgeCaseInterval, func(i int) { tc.sendTwice(ctx, fmt.Appendf(nil, "twice %d", i)) })
	tc.repeat(ctx, edgeCaseInterval, func(i int) { tc.sendTightDeadline(ctx, time.Duration(i%5)*tightDeadline/4) })
	tc.repeat(ctx, edgeCaseInterval, func(int) { tc.sendAndCancel(ctx) })
	tc.repeat(ctx, edgeCaseInterval, func(int) { tc.sendUnknownKey(ctx) })
}

// newTicket requests a ticket for queueLabel from the first entry. It returns "" on
// failure.
func (tc *testCell) newTicket(ctx context.Context, entries []harness.Entry) string {
	ticket, err := tc.ink.Ticket(harness.WithTimeout(ctx, edgeCaseTimeout), entries[0], queueLabel)
	if err != nil {
		return ""
	}
	return ticket
}

// sendTwice sends one request through two entries at the same time.
func (tc *testCell) sendTwice(ctx context.Context, input []byte) {
	entries := tc.rotatedEntries()
	r := harness.Request{
		Queue: queueLabel, Command: "echo", Input: input, Want: input,
		Deadline: requestDeadline, Ticket: tc.newTicket(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	var sends sync.WaitGroup
	for _, entry := range entries[:2] {
		sends.Go(func() { tc.ink.Send(harness.WithTimeout(tc.ctx, edgeCaseTimeout), entry, r) })
	}
	sends.Wait()
}

// sendTightDeadline sends a request whose deadline is tightDeadline plus extra,
// which is about as long as its task takes.
func (tc *testCell) sendTightDeadline(ctx context.Context, extra time.Duration) {
	entries := tc.rotatedEntries()
	input := sleepInput(tightTaskDuration)
	r := harness.Request{
		Queue: queueLabel, Command: "sleep", Input: input, Want: sleepOutput(input),
		Deadline: tightDeadline + extra, Ticket: tc.newTicket(ctx, entries),
	}
	if r.Ticket != "" {
		tc.ink.Send(harness.WithTimeout(tc.ctx, edgeCaseTimeout), entries[0], r)
	}
}

// sendAndCancel sends a request and cancels it through another entry while it is
// in flight.
func (tc *testCell) sendAndCancel(ctx context.Context) {
	entries := tc.rotatedEntries()
	input := sleepInput(cancelTaskDuration)
	r := harness.Request{
		Queue: queueLabel, Command: "sleep", Input: input, Want: sleepOutput(input),
		Deadline: requestDeadline, Ticket: tc.newTicket(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	var sending sync.WaitGroup
	sending.Go(func() { tc.ink.Send(harness.WithTimeout(tc.ctx, edgeCaseTimeout), entries[0], r) })
	harness.Sleep(ctx, cancelDelay)
	_ = tc.ink.CancelRequest(harness.WithTimeout(tc.ctx, edgeCaseTimeout), entries[1], r.Ticket)
	sending.Wait()
}

// sendUnknownKey sends a request with a key that was never granted.
func (tc *testCell) sendUnknownKey(ctx context.Context) {
	entries := tc.rotatedEntries()
	r := harness.Request{
		Queue: queueLabel, Command: "echo", Input: []byte("forged"),
		Deadline: requestDeadline, Ticket: tc.newTicket(ctx, entries),
	}
	if r.Ticket == "" {
		return
	}
	tc.unknownKey.Send(harness.WithTimeout(tc.ctx, edgeCaseTimeout), entries[0], r)
}
