package client

import (
	"net/http"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

const publishOperation = "POST /admin/v1/config"

func TestPublishReportsEveryZone(t *testing.T) {
	d := newDaemon(t)
	d.on(publishOperation, answerJSON(200, Published{Version: 8, Zones: []ZoneSpread{{"a", SpreadInForce}, {"b", SpreadUnknown}}}))
	p, err := newClient(t, d.URL).Publish(t.Context(), PublishRequest{Text: "x", Expected: 7})
	if err != nil || p.Version != 8 || len(p.Zones) != 2 || p.Zones[1].State != SpreadUnknown {
		t.Fatalf("got %+v, %v", p, err)
	}
	if body := d.bodies[publishOperation][0]; body != `{"text":"x","expected":7}` {
		t.Errorf("sent %s", body)
	}
}

func TestOnlyVersionConflictsAreConflicts(t *testing.T) {
	kinds := map[problem.Code]Kind{problem.VersionConflict: KindConflict, problem.TicketConflict: KindRefused, problem.Cancelled: KindRefused}
	for code, kind := range kinds {
		d := newDaemon(t)
		d.on(publishOperation, answerProblem(document{Status: 409, Code: code, Verdict: "not run"}))
		_, err := newClient(t, d.URL).Publish(t.Context(), PublishRequest{Expected: 7})
		requireError(t, err, kind, VerdictNotRun)
	}
}

func TestLostPublicationIsLookedUpAndNeverRepeated(t *testing.T) {
	tests := map[string]struct {
		inForce http.HandlerFunc
		kind    Kind
	}{
		"in force":      {answerJSON(200, ConfigVersion{Version: 8, Text: "mine"}), ""},
		"beaten":        {answerJSON(200, ConfigVersion{Version: 8, Text: "other"}), KindConflict},
		"not yet there": {answerJSON(200, ConfigVersion{Version: 7, Text: "old"}), KindBroken},
		"unreadable":    {breakConnection, KindBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t)
			d.on(publishOperation, breakConnection)
			d.on("GET /admin/v1/config", test.inForce)
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
	d := newDaemon(t)
	c := newClient(t, d.URL)
	d.on("GET /admin/v1/version", answerJSON(200, versionResponse{Version: 6}))
	if v, err := c.Version(t.Context()); err != nil || v != 6 {
		t.Errorf("version: %d, %v", v, err)
	}
	d.on("GET /admin/v1/config/history", answerJSON(200, []HistoryEntry{{Version: 3, Author: "ops"}}))
	if h, err := c.History(t.Context()); err != nil || len(h) != 1 || h[0].Author != "ops" {
		t.Errorf("history: %v, %v", h, err)
	}
	d.on("GET /admin/v1/zones", answerJSON(200, []ZoneStatus{{Zone: "a", Epoch: 4, Endpoints: []EndpointStatus{{ID: "w"}}}}))
	if z, err := c.Zones(t.Context()); err != nil || len(z) != 1 || z[0].Epoch != 4 || len(z[0].Endpoints) != 1 {
		t.Errorf("zones: %v, %v", z, err)
	}
	d.on("GET /admin/v1/report", answerJSON(200, "x"))
	if r, err := c.Report(t.Context(), true); err != nil || len(r) == 0 {
		t.Errorf("report: %s, %v", r, err)
	}
	if accept := d.seen["GET /admin/v1/report"][0].Header.Get("Accept"); accept != "text/html" {
		t.Errorf("accepts %q", accept)
	}
	d.on("POST /admin/v1/config/revert", answerJSON(200, Published{Version: 9}))
	if p, err := c.Revert(t.Context(), 3, 8); err != nil || p.Version != 9 {
		t.Errorf("revert: %+v, %v", p, err)
	}
	if body := d.bodies["POST /admin/v1/config/revert"][0]; body != `{"version":3,"expected":8}` {
		t.Errorf("sent %s", body)
	}
}
