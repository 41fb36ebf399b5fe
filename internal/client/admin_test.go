package client

import (
	"net/http"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

const publishOperation = "POST /admin/v1/config"

func TestPublishReportsEveryZone(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(publishOperation, replyJSON(200, PublishResult{Version: 8, Zones: []ZoneRollout{{"a", RolloutInForce}, {"b", RolloutUnknown}}}))
	p, err := newClient(t, d.URL).Publish(t.Context(), PublishRequest{Text: "x", Expected: 7})
	if err != nil || p.Version != 8 || len(p.Zones) != 2 || p.Zones[1].State != RolloutUnknown {
		t.Fatalf("got %+v, %v", p, err)
	}
	if body := d.bodies[publishOperation][0]; body != `{"text":"x","expected":7}` {
		t.Errorf("sent %s", body)
	}
}

func TestKindConflictIsOnlyForVersionConflicts(t *testing.T) {
	kinds := map[problem.Code]Kind{problem.VersionConflict: KindConflict, problem.TicketConflict: KindRefused, problem.Cancelled: KindRefused}
	for code, kind := range kinds {
		d := newFakeDaemon(t)
		d.setReplies(publishOperation, replyProblem(problemDocument{Status: 409, Code: code, Verdict: "not run"}))
		_, err := newClient(t, d.URL).Publish(t.Context(), PublishRequest{Expected: 7})
		requireError(t, err, kind, VerdictNotRun)
	}
}

func TestLostPublicationIsLookedUpAndNotRepeated(t *testing.T) {
	tests := map[string]struct {
		inForce http.HandlerFunc
		kind    Kind
	}{
		"in force":      {replyJSON(200, ConfigVersion{Version: 8, Text: "mine"}), ""},
		"replaced":      {replyJSON(200, ConfigVersion{Version: 8, Text: "other"}), KindConflict},
		"not yet there": {replyJSON(200, ConfigVersion{Version: 7, Text: "old"}), KindBroken},
		"unreadable":    {breakConnection, KindBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.setReplies(publishOperation, breakConnection)
			d.setReplies("GET /admin/v1/config", test.inForce)
			p, err := newClient(t, d.URL).Publish(t.Context(), PublishRequest{Text: "mine", Expected: 7})
			if n := d.count(publishOperation); n != 1 {
				t.Errorf("published %d times", n)
			}
			if test.kind != "" {
				requireError(t, err, test.kind, VerdictUnknown)
				return
			}
			if err != nil || p.Version != 8 {
				t.Errorf("got %+v, %v", p, err)
			}
		})
	}
}

func TestAdministrationReads(t *testing.T) {
	d := newFakeDaemon(t)
	c := newClient(t, d.URL)
	d.setReplies("GET /admin/v1/version", replyJSON(200, versionResponse{Version: 6}))
	if v, err := c.Version(t.Context()); err != nil || v != 6 {
		t.Errorf("version: %d, %v", v, err)
	}
	d.setReplies("GET /admin/v1/config/history", replyJSON(200, []HistoryEntry{{Version: 3, Author: "ops"}}))
	if h, err := c.History(t.Context()); err != nil || len(h) != 1 || h[0].Author != "ops" {
		t.Errorf("history: %v, %v", h, err)
	}
	d.setReplies("GET /admin/v1/zones", replyJSON(200, []ZoneStatus{{Zone: "a", Epoch: 4, Endpoints: []EndpointStatus{{ID: "w"}}}}))
	if z, err := c.Zones(t.Context()); err != nil || len(z) != 1 || z[0].Epoch != 4 || len(z[0].Endpoints) != 1 {
		t.Errorf("zones: %v, %v", z, err)
	}
	d.setReplies("GET /admin/v1/report", replyJSON(200, "x"))
	if r, err := c.Report(t.Context(), true); err != nil || len(r) == 0 {
		t.Errorf("report: %s, %v", r, err)
	}
	if accept := d.requests["GET /admin/v1/report"][0].Header.Get("Accept"); accept != "text/html" {
		t.Errorf("accepts %q", accept)
	}
	d.setReplies("POST /admin/v1/config/revert", replyJSON(200, PublishResult{Version: 9}))
	if p, err := c.Revert(t.Context(), 3, 8); err != nil || p.Version != 9 {
		t.Errorf("revert: %+v, %v", p, err)
	}
	if body := d.bodies["POST /admin/v1/config/revert"][0]; body != `{"version":3,"expected":8}` {
		t.Errorf("sent %s", body)
	}
}
