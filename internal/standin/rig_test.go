package standin_test

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

const (
	testZone    = "bre-1"
	testLeaseMS = 60_000
	pollWaitMS  = 10_000
)

// rig is a running endpoint with a client and the path of its history.
type rig struct {
	t        testing.TB
	endpoint *standin.Endpoint
	server   *standin.Server
	client   *endpoint.Client
	path     string
	token    uint64
	session  uint64
}

func newRig(t testing.TB, opts standin.EndpointOptions) *rig {
	t.Helper()
	before := goleak.IgnoreCurrent()
	path := filepath.Join(t.TempDir(), "history.jsonl")
	writer, err := history.OpenWriter(path)
	if err != nil {
		t.Fatal(err)
	}
	opts.ID, opts.Kind, opts.AvailabilityZone, opts.History = "w1", endpoint.KindWorker, testZone, writer
	opts.Capacity = endpoint.Resources{MilliCores: 2000, MemoryMB: 2000}
	r := &rig{t: t, endpoint: standin.NewEndpoint(opts), path: path}
	if r.server, err = standin.Serve(r.endpoint, "127.0.0.1:0", ""); err != nil {
		t.Fatal(err)
	}
	pool := endpoint.NewPool()
	r.client = endpoint.NewClient(r.server.Addr(), endpoint.WithPool(pool))
	t.Cleanup(func() {
		pool.Close()
		if err := r.server.Close(); err != nil {
			t.Error(err)
		}
		if err := r.endpoint.Close(); err != nil {
			t.Error(err)
		}
		if err := writer.Close(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t, before)
	})
	return r
}

// attach attaches with an epoch and returns the response, which holds the
// inventory.
func (r *rig) attach(epoch uint64) *endpoint.AttachResponse {
	r.t.Helper()
	req := &endpoint.AttachRequest{AvailabilityZone: testZone, Holder: "h", Epoch: epoch, LeaseMS: testLeaseMS}
	resp, err := r.client.Attach(context.Background(), req)
	if err != nil {
		r.t.Fatal(err)
	}
	r.token, r.session = resp.LeaseToken, resp.Session
	return resp
}

// renew sends a heartbeat of epoch 1 with the last lease token.
func (r *rig) renew() *endpoint.HeartbeatResponse {
	r.t.Helper()
	req := &endpoint.HeartbeatRequest{Session: r.session, Epoch: 1, LeaseToken: r.token, LeaseMS: testLeaseMS}
	resp, err := r.client.Heartbeat(context.Background(), req)
	if err != nil {
		r.t.Fatal(err)
	}
	r.token = resp.LeaseToken
	return resp
}

// start starts tasks and returns the refusals.
func (r *rig) start(epoch uint64, tasks ...endpoint.TaskSpec) []endpoint.Refusal {
	r.t.Helper()
	resp, err := r.client.Start(context.Background(), &endpoint.StartRequest{Session: r.session, Epoch: epoch, Tasks: tasks})
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.Refused
}

// stop sends a stop command of epoch 1 for one task.
func (r *rig) stop(action endpoint.StopAction, id string) endpoint.StoppedTask {
	r.t.Helper()
	req := &endpoint.StopRequest{Session: r.session, Epoch: 1, Action: action, IDs: []string{id}}
	resp, err := r.client.Stop(context.Background(), req)
	if err != nil || len(resp.Tasks) != 1 {
		r.t.Fatalf("stop: %+v, %v", resp, err)
	}
	return resp.Tasks[0]
}

// answer polls until all parts of a task's output have arrived. It returns their
// events in the order of arrival, and the whole output.
func (r *rig) answer(epoch uint64, id string) ([]endpoint.Event, []byte) {
	r.t.Helper()
	var arrived []endpoint.Event
	parts := make(map[int][]byte)
	for after := uint64(0); ; {
		req := &endpoint.EventsRequest{Session: r.session, Epoch: epoch, After: after, WaitMS: pollWaitMS}
		resp, err := r.client.Events(context.Background(), req)
		if err != nil || len(resp.Events) == 0 {
			r.t.Fatalf("no answer to %s: %v", id, err)
		}
		after = resp.Next
		for _, event := range resp.Events {
			if event.ID == id {
				arrived = append(arrived, event)
				parts[event.Part] = event.Data
			}
		}
		if len(arrived) > 0 && len(parts) == arrived[0].Parts {
			break
		}
	}
	var whole []byte
	for i := range len(parts) {
		whole = append(whole, parts[i]...)
	}
	return arrived, whole
}

// eventually polls a condition until it holds, and fails the test after 20
// seconds.
func (r *rig) eventually(holds func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			r.t.Fatal("condition never held")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// history returns the events in the history, each as "kind task state".
func (r *rig) history() []string {
	r.t.Helper()
	events, err := history.Read(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	lines := make([]string, 0, len(events))
	for _, event := range events {
		lines = append(lines, strings.TrimSpace(strings.Join([]string{string(event.Kind), event.Task, event.State}, " ")))
	}
	return lines
}

func echoTask(id string, input []byte) endpoint.TaskSpec {
	size := endpoint.Resources{MilliCores: 1000, MemoryMB: 100}
	return endpoint.TaskSpec{ID: id, Job: "j", Team: "t", Queue: "q", Size: size, Command: "echo", Input: input}
}

func sleepTask(id, duration string) endpoint.TaskSpec {
	task := echoTask(id, []byte(duration))
	task.Command = "sleep"
	return task
}
