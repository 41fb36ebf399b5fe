package router

import (
	"log/slog"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/holder"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/operator"
	"go.uber.org/goleak"
)

// deadline is the deadline of the calls in these tests.
const deadline = 200 * time.Millisecond

// newRouter returns a router whose zone "a" is claimed by a holder at an address
// that refuses connections, as when the holder has just crashed.
func newRouter(t *testing.T) *Router {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	state := cell.New()
	data, err := record.Encode(&record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: "a", Holder: "d1/i", Address: "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	if effect := state.Apply(1, "claim", data); !effect.Valid {
		t.Fatal(effect.Reason)
	}
	clients := peer.NewClients(nil, func(string) string { return "test" })
	t.Cleanup(clients.Close)
	logger := slog.New(slog.DiscardHandler)
	return New(peer.Identity{Instance: "d2", Incarnation: "i", AvailabilityZone: "a", Region: "r"}, state,
		membership.NewDirectory(nil, "a", logger), membership.NewTable(), clients, nil, func() *holder.Term { return nil }, logger)
}

// TestUnreachableHolder checks that the verdict is "not run" only for work that
// can't have been sent before. A ticket that the caller provided may have run
// already or may still run.
func TestUnreachableHolder(t *testing.T) {
	r := newRouter(t)
	own := ticket.New("a", 1, 1)
	call := &Call{Ticket: &own, Team: "ink", Queue: operator.Queue{Name: "labels"}, Command: "echo", Deadline: deadline}
	answer := r.Run(t.Context(), call)
	if answer.Problem == nil || answer.Problem.Verdict != problem.Unknown {
		t.Errorf("a ticket that may have run is answered with %v, want verdict unknown", answer.Problem)
	}
	created := r.runTicket(t.Context(), call, ticket.New("a", 1, 1), time.Now().Add(deadline))
	if created.Problem == nil || created.Problem.Verdict != problem.NotRun || created.Problem.Remedy == "" {
		t.Errorf("a new ticket that was never sent is answered with %v, want verdict not run with a remedy", created.Problem)
	}
}

func TestOnlyNotRunRefusalsTryOtherZones(t *testing.T) {
	for _, test := range []struct {
		problem *problem.Problem
		want    bool
	}{
		{problem.Refuse(problem.QueueFull, "", ""), true},
		{problem.Refuse(problem.NoHolder, "", ""), true},
		{problem.Refuse(problem.ZoneDraining, "", ""), true},
		{problem.Refuse(problem.Moved, "", ""), true},
		{problem.Refuse(problem.NeverRunnable, "", ""), true},
		{problem.Refuse(problem.KeyRefused, "", ""), false},
		{problem.Refuse(problem.DeadlineQueued, "", ""), false},
		{problem.UnknownOutcome(problem.QueueFull, "", ""), false},
		{problem.UnknownOutcome(problem.Moved, "", ""), false},
		{problem.UnknownOutcome(problem.OutcomeLost, "", ""), false},
	} {
		if got := mayRunInOtherZone(test.problem); got != test.want {
			t.Errorf("%s (%s) may be tried in another zone: %v", test.problem.Code, test.problem.Verdict, got)
		}
	}
}

func TestUnknownSubmissionOutcomeIsKept(t *testing.T) {
	unknown := problem.UnknownOutcome(problem.LogOutcomeUnknown, "", "")
	moved := problem.Refuse(problem.Moved, "", "")
	lost := problem.Refuse(problem.NoHolder, "", "")
	if p := mergeProblem(unknown, moved, true); p.Verdict != problem.Unknown {
		t.Error("a later refusal has replaced an earlier unknown outcome")
	}
	if p := mergeProblem(nil, lost, true); p.Verdict != problem.Unknown {
		t.Error("a submission that was sent but not answered is reported as not accepted")
	}
	if p := mergeProblem(moved, lost, false); p.Verdict != problem.NotRun {
		t.Error("a submission that was never sent is reported as unknown")
	}
}

func TestZoneOfJob(t *testing.T) {
	text := ticket.New("a", 1, 1).String()
	if zone, err := zoneOfJob("j-" + text); err != nil || zone != "a" {
		t.Errorf("zone %q, %v", zone, err)
	}
	for _, id := range []string{"", "j", "j-", "j-x", text, "k-" + text, "j-" + text + ".x"} {
		if zone, err := zoneOfJob(id); err == nil {
			t.Errorf("job id %q has zone %q", id, zone)
		}
	}
}
