package linear

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

func sent(at int64, request string) history.Event {
	return history.Event{UnixNano: at, Kind: history.RequestSent, Request: request, Ticket: "t"}
}

func answered(at int64, request, verdict string) history.Event {
	return history.Event{UnixNano: at, Kind: history.RequestAnswered, Request: request, Ticket: "t", Verdict: verdict}
}

func started(at int64) history.Event {
	return history.Event{UnixNano: at, Kind: history.TaskStarted, Ticket: "t", Work: "t"}
}

func TestTicketModel(t *testing.T) {
	cases := []struct {
		name   string
		events []history.Event
		want   bool
	}{
		{"done after the run", []history.Event{sent(1, "a"), started(2), answered(3, "a", history.VerdictDone)}, true},
		{"refused, then run by a retry", []history.Event{sent(1, "a"), answered(2, "a", history.VerdictNotRun), sent(3, "b"), started(4), answered(5, "b", history.VerdictDone)}, true},
		{"unknown fits both", []history.Event{sent(1, "a"), answered(2, "a", history.VerdictUnknown), started(3)}, true},
		{"accepted job", []history.Event{{UnixNano: 1, Kind: history.RequestSent, Request: "a", Ticket: "t", Tasks: 2}, answered(2, "a", history.VerdictDone), started(3), started(4)}, true},
		{"run twice", []history.Event{sent(1, "a"), started(2), started(3)}, false},
		{"done without a run", []history.Event{sent(1, "a"), answered(2, "a", history.VerdictDone)}, false},
		{"refused after the run", []history.Event{sent(1, "a"), started(2), sent(3, "b"), answered(4, "b", history.VerdictNotRun)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := porcupine.CheckOperations(TicketModel(), TicketOperations(c.events)); got != c.want {
				t.Fatalf("linearizable: %t, want %t", got, c.want)
			}
		})
	}
}

func TestAllotmentModel(t *testing.T) {
	start := func(at int64, task string) history.Event {
		return history.Event{UnixNano: at, Kind: history.TaskStarted, Team: "ink", Endpoint: "w", Task: task}
	}
	end := func(at int64, task string) history.Event {
		return history.Event{UnixNano: at, Kind: history.TaskEnded, Endpoint: "w", Task: task}
	}
	model := AllotmentModel(func(string) int64 { return 1 })
	clean := []history.Event{start(1, "a"), end(2, "a"), start(3, "b")}
	if !porcupine.CheckOperations(model, AllotmentOperations(clean)) {
		t.Error("clean history rejected")
	}
	over := []history.Event{start(1, "a"), start(2, "b"), end(3, "a")}
	if porcupine.CheckOperations(model, AllotmentOperations(over)) {
		t.Error("two tasks under a limit of one accepted")
	}
}

func TestFenceModel(t *testing.T) {
	run := func(at int64, incarnation string, epoch uint64) history.Event {
		return history.Event{UnixNano: at, Kind: history.TaskStarted, Endpoint: "w", Incarnation: incarnation, Epoch: epoch}
	}
	clean := []history.Event{run(1, "1", 4), run(2, "1", 9), run(3, "2", 4)}
	if !porcupine.CheckOperations(FenceModel(), FenceOperations(clean)) {
		t.Error("clean history rejected")
	}
	stale := []history.Event{run(1, "1", 9), run(2, "1", 4)}
	if porcupine.CheckOperations(FenceModel(), FenceOperations(stale)) {
		t.Error("start under a superseded epoch accepted")
	}
}

func TestClaimedEpochs(t *testing.T) {
	claim := func(offset uint64, holder string, previous uint64) loglist.Record {
		data, err := record.Encode(&record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: "z", Holder: holder, Previous: previous}})
		if err != nil {
			t.Fatal(err)
		}
		return loglist.Record{Offset: offset, Data: data}
	}
	valid := ClaimedEpochs([]loglist.Record{claim(3, "a", 0), claim(5, "b", 3), claim(6, "c", 3), {Offset: 7, Data: []byte("?")}})
	if len(valid) != 2 || valid[3] != "z" || valid[5] != "z" {
		t.Fatalf("valid epochs %v, want 3 and 5", valid)
	}
	starts := []history.Event{{Kind: history.TaskStarted, Epoch: 5}, {Kind: history.TaskStarted, Epoch: 6}}
	if got := UnclaimedStarts(starts, valid); len(got) != 1 || got[0].Epoch != 6 {
		t.Fatalf("unclaimed starts %v, want the one under epoch 6", got)
	}
}
