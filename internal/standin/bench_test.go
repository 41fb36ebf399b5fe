package standin_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// BenchmarkDirectCall measures the time of a task without a scheduler: a client
// starts it, waits for its result and acknowledges it.
func BenchmarkDirectCall(b *testing.B) {
	r := newRig(b, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	ctx := context.Background()
	input := make([]byte, 1<<10)
	after := uint64(0)
	for n := 0; b.Loop(); n++ {
		id := strconv.Itoa(n)
		if refused := r.start(1, echoTask(id, input)); len(refused) != 0 {
			b.Fatalf("refused %+v", refused)
		}
		poll := &endpoint.EventsRequest{Session: r.session, Epoch: 1, After: after, WaitMS: pollWaitMS}
		events, err := r.client.Events(ctx, poll)
		if err != nil || len(events.Events) != 1 {
			b.Fatalf("events %+v, %v", events, err)
		}
		after = events.Next
		if err := r.client.Ack(ctx, &endpoint.AckRequest{Session: r.session, Epoch: 1, IDs: []string{id}}); err != nil {
			b.Fatal(err)
		}
	}
}
