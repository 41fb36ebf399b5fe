package standin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// TestEndpointUnderRacingHolders has holders of different epochs attach and
// start, stop and acknowledge the same tasks concurrently, while responses are
// lost. The history must show no overcommitted endpoint and no task that starts
// twice.
func TestEndpointUnderRacingHolders(t *testing.T) {
	const holders, steps = 4, 400
	r := newRig(t, standin.EndpointOptions{PartBytes: 8})
	var all sync.WaitGroup
	for i := range holders {
		h := &racingHolder{
			client: r.client,
			random: rand.New(rand.NewPCG(uint64(i), 1)),
			faults: r.endpoint.Faults(),
			epoch:  uint64(i + 1),
		}
		all.Go(func() {
			for step := range steps {
				h.step(fmt.Sprintf("t%d", step/10+h.random.IntN(3)))
			}
		})
	}
	all.Wait()
	events, err := history.Read(r.path)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range history.NotOvercommitted(events, history.Options{}) {
		t.Error(violation)
	}
	starts := make(map[string]int)
	for _, event := range events {
		if event.Kind == history.TaskStarted {
			starts[event.Task]++
		}
	}
	for id, n := range starts {
		if n > 1 {
			t.Errorf("%s started %d times", id, n)
		}
	}
	if len(starts) == 0 {
		t.Error("no task started")
	}
}

// racingHolder is a holder that sends random commands and ignores their errors,
// except that it takes a higher epoch after an attach that is fenced.
type racingHolder struct {
	client  *endpoint.Client
	random  *rand.Rand
	faults  *standin.Faults
	epoch   uint64
	session uint64
	token   uint64
}

func (h *racingHolder) step(id string) {
	ctx := context.Background()
	ids := []string{id}
	switch h.random.IntN(16) {
	case 0:
		_ = h.faults.Set("lose_answers", 1)
	case 1:
		resp, err := h.client.Attach(ctx, &endpoint.AttachRequest{AvailabilityZone: testZone, Epoch: h.epoch})
		if higher, fenced := endpoint.FencedBy(err); fenced {
			h.epoch = higher + 1
		}
		if err == nil {
			h.session, h.token = resp.Session, resp.LeaseToken
		}
	case 2, 3:
		// Leases of 1 to 50 ms lapse between the steps.
		lease := int64(1 + h.random.IntN(50))
		heartbeat := &endpoint.HeartbeatRequest{Session: h.session, Epoch: h.epoch, LeaseToken: h.token, LeaseMS: lease}
		if resp, err := h.client.Heartbeat(ctx, heartbeat); err == nil {
			h.token = resp.LeaseToken
		}
	case 4, 5, 6:
		_ = h.client.Ack(ctx, &endpoint.AckRequest{Session: h.session, Epoch: h.epoch, IDs: ids})
	case 7:
		_, _ = h.client.Stop(ctx, &endpoint.StopRequest{Session: h.session, Epoch: h.epoch, Action: endpoint.ActionStop, IDs: ids})
	case 8:
		_, _ = h.client.Events(ctx, &endpoint.EventsRequest{Session: h.session, Epoch: h.epoch})
	default:
		task := sleepTask(id, fmt.Sprintf("%dms", h.random.IntN(3)))
		_, _ = h.client.Start(ctx, &endpoint.StartRequest{Session: h.session, Epoch: h.epoch, Tasks: []endpoint.TaskSpec{task}})
	}
}

// TestEndpointDies checks that the switch "die" ends the server, and that the
// history shows the fault and no end of the running task.
func TestEndpointDies(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	r.start(1, sleepTask("a", "1h"))
	if err := r.endpoint.Faults().Set("die", true); err != nil {
		t.Fatal(err)
	}
	<-r.server.Dead()
	_, err := r.client.Start(context.Background(), &endpoint.StartRequest{Session: r.session, Epoch: 1})
	if endpoint.KindOf(err) != endpoint.KindUnreachable {
		t.Fatalf("start at a dead endpoint: %v", err)
	}
	want := []string{"endpoint_up", "task_started a", "fault_injected", "endpoint_down"}
	if diff := cmp.Diff(want, r.history()); diff != "" {
		t.Fatal(diff)
	}
}
