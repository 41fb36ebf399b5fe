package holder

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// FuzzRosterID requires that any text in the log's roster is read as some endpoint
// with a number of tasks that is not negative.
func FuzzRosterID(f *testing.F) {
	for _, id := range []string{"w1@i@8", "w1@i@-8", "w1", "@@", "a@b@c", "w@1@i@8", "w1@i@9223372036854775807", ""} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		name, tasks := parseRosterID(id)
		if tasks < 0 {
			t.Errorf("roster id %q counts for %d tasks", id, tasks)
		}
		if name == "" && id != "" && !strings.HasPrefix(id, "@") {
			t.Errorf("roster id %q names no endpoint", id)
		}
		var g gate
		g.pending = map[string]bool{id: true, "other@i@1": true}
		if g.maxUnaccountedTasks() < 0 {
			t.Errorf("the roster with id %q counts for %d tasks", id, g.maxUnaccountedTasks())
		}
	})
}

func TestRosterIDRoundTrip(t *testing.T) {
	for _, kind := range []endpoint.Kind{endpoint.KindWorker, endpoint.KindRunner} {
		response := &endpoint.AttachResponse{Endpoint: "w1", Incarnation: "i", Kind: kind, Capacity: endpoint.Resources{Slots: 3}}
		if name, tasks := parseRosterID(rosterID(response)); name != "w1" || tasks != 3 {
			t.Errorf("%s reads back as %q, %d", rosterID(response), name, tasks)
		}
	}
	if _, tasks := parseRosterID(rosterID(&endpoint.AttachResponse{Endpoint: "w1", Incarnation: "i", Kind: endpoint.KindWorker})); tasks != maxWorkerTasks {
		t.Errorf("a worker without slots counts for %d tasks", tasks)
	}
}

// TestRosterIDRoundTripWithSeparators covers endpoint ids that contain the separator: the
// endpoint must be found again under its own id.
func TestRosterIDRoundTripWithSeparators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.StringMatching(`[a-z@]{1,6}`).Draw(rt, "id")
		response := &endpoint.AttachResponse{Endpoint: id, Incarnation: "i", Capacity: endpoint.Resources{Slots: 3}}
		if name, tasks := parseRosterID(rosterID(response)); name != id || tasks != 3 {
			rt.Fatalf("%s reads back as %q, %d", rosterID(response), name, tasks)
		}
	})
}

// splitAnswer splits an answer into parts as an endpoint does.
func splitAnswer(answer []byte, parts int) []endpoint.Event {
	events := make([]endpoint.Event, 0, parts)
	size := len(answer)/parts + 1
	for i := range parts {
		from, to := min(i*size, len(answer)), min((i+1)*size, len(answer))
		events = append(events, endpoint.Event{State: endpoint.TaskDone, Part: i, Parts: parts, Data: answer[from:to]})
	}
	return events
}

// FuzzAssembly adds the parts of an answer in any order, some repeated, some lost. The
// answer must be complete exactly when all parts have arrived, and then be correct.
func FuzzAssembly(f *testing.F) {
	f.Add([]byte("an answer"), uint8(3), []byte{2, 0, 1})
	f.Add([]byte("repeated"), uint8(2), []byte{0, 0, 1, 0, 1})
	f.Add([]byte("one lost"), uint8(4), []byte{3, 1, 0, 0})
	f.Add([]byte{}, uint8(1), []byte{0})
	f.Add([]byte("x"), uint8(5), []byte{4, 3, 2, 1, 0})
	f.Fuzz(func(t *testing.T, answer []byte, count uint8, order []byte) {
		parts := int(count)%8 + 1
		events := splitAnswer(answer, parts)
		var a answerAssembly
		arrived := map[int]bool{}
		for _, b := range order {
			i := int(b) % parts
			arrived[i] = true
			complete := a.add(events[i])
			if complete != (len(arrived) == parts) {
				t.Fatalf("complete is %v after parts %v of %d", complete, arrived, parts)
			}
			if complete && !bytes.Equal(a.bytes(), answer) {
				t.Fatalf("the answer is %q, want %q", a.bytes(), answer)
			}
		}
	})
}

// TestAssemblyCompleteWithoutAnswer requires that a task that failed or was stopped has
// ended without any part of an answer.
func TestAssemblyCompleteWithoutAnswer(t *testing.T) {
	for _, state := range []endpoint.TaskState{endpoint.TaskFailed, endpoint.TaskStopped} {
		var a answerAssembly
		if !a.add(endpoint.Event{State: state, Parts: 1, Reason: "why"}) || a.reason != "why" {
			t.Errorf("a task that is %s has not ended: %+v", state, a)
		}
	}
	var a answerAssembly
	if a.add(endpoint.Event{State: endpoint.TaskRunning, Part: 0, Parts: 1, Data: []byte("x")}) {
		t.Error("a running task has ended")
	}
}
