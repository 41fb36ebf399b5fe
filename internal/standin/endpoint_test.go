package standin_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

func TestEndpointEpochs(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	start := &endpoint.StartRequest{Epoch: 3}
	if _, err := r.client.Start(context.Background(), start); endpoint.KindOf(err) != endpoint.KindNotAttached {
		t.Fatalf("start before attach: %v", err)
	}
	r.attach(5)
	_, err := r.client.Start(context.Background(), start)
	if epoch, ok := endpoint.FencedBy(err); !ok || epoch != 5 {
		t.Fatalf("start below the epoch: %v", err)
	}
	start.Epoch = 6
	if _, err := r.client.Start(context.Background(), start); endpoint.KindOf(err) != endpoint.KindNotAttached {
		t.Fatalf("start above the epoch: %v", err)
	}
	attach := &endpoint.AttachRequest{AvailabilityZone: testZone, Epoch: 4}
	if _, err := r.client.Attach(context.Background(), attach); endpoint.KindOf(err) != endpoint.KindFenced {
		t.Fatalf("attach below the epoch: %v", err)
	}
	attach = &endpoint.AttachRequest{AvailabilityZone: "other", Epoch: 9}
	if _, err := r.client.Attach(context.Background(), attach); endpoint.KindOf(err) != endpoint.KindRefused {
		t.Fatalf("attach from another zone: %v", err)
	}
}

func TestEndpointFencesWaitingPoll(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	failed := make(chan error, 1)
	poll := &endpoint.EventsRequest{Session: r.session, Epoch: 1, WaitMS: pollWaitMS}
	go func() {
		_, err := r.client.Events(context.Background(), poll)
		failed <- err
	}()
	r.attach(2)
	if err := <-failed; endpoint.KindOf(err) != endpoint.KindFenced {
		t.Fatalf("poll of the old epoch: %v", err)
	}
}

func TestEndpointRefusesEndedSessions(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	delayed := &endpoint.StartRequest{Session: r.session, Epoch: 1, Tasks: []endpoint.TaskSpec{echoTask("a", nil)}}
	standin.LapseForTest(r.endpoint)
	if _, err := r.client.Start(context.Background(), delayed); endpoint.KindOf(err) != endpoint.KindNotAttached {
		t.Fatalf("start after the lapse: %v", err)
	}
	r.attach(1)
	r.renew()
	if _, err := r.client.Start(context.Background(), delayed); endpoint.KindOf(err) != endpoint.KindNotAttached {
		t.Fatalf("start of an ended session: %v", err)
	}
	if refused := r.start(1, echoTask("a", nil)); len(refused) != 0 {
		t.Fatalf("refused: %+v", refused)
	}
}

func TestEndpointStartNeedsLease(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	if refused := r.start(1, echoTask("a", nil)); len(refused) != 1 {
		t.Fatalf("started without a lease: %+v", refused)
	}
	r.token += uint64(time.Hour)
	r.renew()
	if refused := r.start(1, echoTask("a", nil)); len(refused) != 1 {
		t.Fatal("a token that was never issued granted a lease")
	}
	r.renew()
	if refused := r.start(1, echoTask("a", nil)); len(refused) != 0 {
		t.Fatalf("refused with a lease: %+v", refused)
	}
}

func TestEndpointRunsOnceAndKeepsUntilAcked(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{PartBytes: 4})
	r.attach(1)
	r.renew()
	input := []byte("forty pieces of linen")
	for range 2 {
		if refused := r.start(1, echoTask("a", input)); len(refused) != 0 {
			t.Fatalf("refused: %+v", refused)
		}
	}
	if _, output := r.answer(1, "a"); !bytes.Equal(output, input) {
		t.Fatalf("output %q", output)
	}
	inventory := r.attach(2)
	if len(inventory.Tasks) != 1 || inventory.Tasks[0].State != endpoint.TaskDone {
		t.Fatalf("inventory %+v", inventory.Tasks)
	}
	if _, output := r.answer(2, "a"); !bytes.Equal(output, input) {
		t.Fatalf("output for the next holder %q", output)
	}
	if err := r.client.Ack(context.Background(), &endpoint.AckRequest{Session: r.session, Epoch: 2, IDs: []string{"a"}}); err != nil {
		t.Fatal(err)
	}
	r.start(2, echoTask("a", input))
	if inventory := r.attach(3); len(inventory.Tasks) != 0 {
		t.Fatalf("inventory after ack %+v", inventory.Tasks)
	}
	want := []string{"endpoint_up", "task_started a", "task_ended a done"}
	if diff := cmp.Diff(want, r.history()); diff != "" {
		t.Fatal(diff)
	}
}

func TestEndpointCapacity(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	refused := r.start(1, sleepTask("a", "1h"), sleepTask("b", "1h"), sleepTask("c", "1h"))
	if len(refused) != 1 || refused[0].ID != "c" {
		t.Fatalf("refused %+v", refused)
	}
	r.stop(endpoint.ActionStop, "a")
	if refused := r.start(1, sleepTask("d", "1h")); len(refused) != 0 {
		t.Fatalf("refused after a stop: %+v", refused)
	}
	if err := r.endpoint.Faults().Set("overcommit", true); err != nil {
		t.Fatal(err)
	}
	if refused := r.start(1, sleepTask("e", "1h")); len(refused) != 0 {
		t.Fatalf("refused despite the switch: %+v", refused)
	}
	negative := sleepTask("f", "1h")
	negative.Size.MemoryMB = -1
	if refused := r.start(1, negative); len(refused) != 1 {
		t.Fatal("a negative size was accepted")
	}
}

func TestEndpointStopBarsUnknownID(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	stopped := r.stop(endpoint.ActionStop, "late")
	if !stopped.NeverRan || stopped.State != endpoint.TaskStopped {
		t.Fatalf("stop of an unknown id: %+v", stopped)
	}
	if refused := r.start(1, echoTask("late", nil)); len(refused) != 1 {
		t.Fatal("a barred id started")
	}
	want := []string{"endpoint_up", "task_refused late"}
	if diff := cmp.Diff(want, r.history()); diff != "" {
		t.Fatal(diff)
	}
}

func TestEndpointCheckpointAndThrottle(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	resumed := sleepTask("a", "1h")
	resumed.ResumeMS = 1_800_000
	r.start(1, resumed, sleepTask("b", "1h"))
	if stopped := r.stop(endpoint.ActionThrottle, "b"); stopped.State != endpoint.TaskRunning {
		t.Fatalf("throttled: %+v", stopped)
	}
	usage := r.renew().Usage
	if len(usage) != 2 || usage[0].Usage.MilliCores != 1000 || usage[1].Usage.MilliCores != 500 {
		t.Fatalf("usage %+v", usage)
	}
	stopped := r.stop(endpoint.ActionCheckpoint, "a")
	if stopped.State != endpoint.TaskStopped || stopped.CheckpointMS < resumed.ResumeMS {
		t.Fatalf("checkpoint: %+v", stopped)
	}
	nearlyDone := sleepTask("c", "1h")
	nearlyDone.ResumeMS = time.Hour.Milliseconds()
	r.start(1, nearlyDone)
	if events, _ := r.answer(1, "c"); events[0].State != endpoint.TaskDone {
		t.Fatalf("resumed task: %+v", events)
	}
}

// TestEndpointLapse pauses the endpoint, as a stopped process would be, until the
// lease has lapsed. A task whose run time ends during the pause must end as
// stopped and without an output.
func TestEndpointLapse(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	r.start(1, sleepTask("a", "50ms"))
	faults := r.endpoint.Faults()
	if err := faults.Set("pause", true); err != nil {
		t.Fatal(err)
	}
	// A heartbeat can't shorten the lease, so its end is set directly.
	standin.LapseForTest(r.endpoint)
	if err := faults.Set("pause", false); err != nil {
		t.Fatal(err)
	}
	// The history is polled instead of the endpoint, since any command would also
	// detect the lapse.
	r.eventually(func() bool { return len(r.history()) == 3 })
	r.attach(1)
	if events, _ := r.answer(1, "a"); events[0].State != endpoint.TaskStopped || events[0].Reason != "lease lapsed" {
		t.Fatalf("events %+v", events)
	}
	if refused := r.start(1, echoTask("b", nil)); len(refused) != 1 {
		t.Fatal("started after the lapse")
	}
}

func TestEndpointPartsShuffledDuplicatedAndDelayed(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{PartBytes: 1, Seed: 7})
	faults := r.endpoint.Faults()
	for name, value := range map[string]any{"shuffle_parts": true, "duplicate_parts": true, "late_parts": "5ms"} {
		if err := faults.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	r.attach(1)
	r.renew()
	input := []byte("0123456789abcdef")
	r.start(1, echoTask("a", input))
	arrived, output := r.answer(1, "a")
	if !bytes.Equal(output, input) {
		t.Fatalf("output %q", output)
	}
	ordered := true
	for i := 1; i < len(arrived); i++ {
		ordered = ordered && arrived[i-1].Part <= arrived[i].Part
	}
	if ordered || len(arrived) < 2*len(input) {
		t.Fatalf("%d parts, in order: %v", len(arrived), ordered)
	}
}

func TestEndpointLosesAnswerAfterEffect(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{})
	r.attach(1)
	r.renew()
	if err := r.endpoint.Faults().Set("lose_answers", 1); err != nil {
		t.Fatal(err)
	}
	start := &endpoint.StartRequest{Session: r.session, Epoch: 1, Tasks: []endpoint.TaskSpec{sleepTask("a", "1h")}}
	_, err := r.client.Start(context.Background(), start)
	if endpoint.KindOf(err) != endpoint.KindUnreachable || !endpoint.MaybeDelivered(err) {
		t.Fatalf("lost answer: %v", err)
	}
	if inventory := r.attach(2); len(inventory.Tasks) != 1 {
		t.Fatalf("inventory %+v", inventory.Tasks)
	}
}

// TestEndpointFaultsAndLeaving checks the switches for failing tasks, a wrong
// capacity and old usage, and that a leaving endpoint refuses tasks.
func TestEndpointFaultsAndLeaving(t *testing.T) {
	r := newRig(t, standin.EndpointOptions{UsageLag: time.Hour})
	faults := r.endpoint.Faults()
	for name, value := range map[string]any{"fail_tasks": true, "capacity_factor": 2.0} {
		if err := faults.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	if resp := r.attach(1); resp.Capacity.MilliCores != 4000 {
		t.Fatalf("claimed capacity %+v", resp.Capacity)
	}
	r.renew()
	r.start(1, echoTask("a", nil))
	if events, _ := r.answer(1, "a"); events[0].State != endpoint.TaskFailed {
		t.Fatalf("events %+v", events)
	}
	r.endpoint.SetLeaving(true)
	if resp := r.renew(); !resp.Leaving || resp.Usage != nil {
		t.Fatalf("heartbeat %+v", resp)
	}
	if refused := r.start(1, echoTask("b", nil)); len(refused) != 1 {
		t.Fatal("a leaving endpoint started a task")
	}
}
