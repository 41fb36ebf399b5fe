package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// TestLogKeepsOrder checks offsets, retention and paging for random appends.
func TestLogKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRecords := rapid.IntRange(0, 8).Draw(t, "max_records")
		maxBytes := rapid.IntRange(0, 64).Draw(t, "max_bytes")
		log := standin.NewLog(standin.LogOptions{MaxRecords: maxRecords, MaxBytes: maxBytes})
		appends := rapid.SliceOfN(rapid.IntRange(0, 80), 1, 30).Draw(t, "sizes")
		for i, size := range appends {
			if offset := log.Append("r", make([]byte, size)); offset != uint64(i+1) {
				t.Fatalf("append %d got offset %d", i+1, offset)
			}
		}
		from, bytes, kept := uint64(0), 0, 0
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		for {
			page := log.Read(context.Background(), from, limit, 0)
			if from == 0 {
				from = page.First
			}
			if len(page.Records) == 0 {
				break
			}
			for _, record := range page.Records {
				if record.Offset != from || len(record.Data) != appends[from-1] {
					t.Fatalf("record %+v at offset %d", record, from)
				}
				from, bytes, kept = from+1, bytes+len(record.Data), kept+1
			}
		}
		if from != uint64(len(appends)+1) {
			t.Fatalf("read up to %d of %d", from, len(appends))
		}
		if maxRecords > 0 && kept > maxRecords || maxBytes > 0 && bytes > maxBytes {
			t.Fatalf("kept %d records of %d bytes", kept, bytes)
		}
	})
}

func TestLogDuplicatesAndTrims(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	setFault(t, log.Faults(), "duplicate", true)
	log.Append("a", nil)
	if page := log.Read(context.Background(), 1, 0, 0); len(page.Records) != 2 || page.Records[1].ID != "a" {
		t.Fatalf("page %+v", page)
	}
	log.Trim(2)
	if page := log.Read(context.Background(), 1, 0, time.Hour); page.First != 2 || len(page.Records) != 0 {
		t.Fatalf("page below retention %+v", page)
	}
}

func TestLogRefusesBadRequests(t *testing.T) {
	handler := standin.NewLog(standin.LogOptions{}).Handler()
	cases := map[string]struct {
		method, query, body string
		status              int
	}{
		"not JSON":        {method: http.MethodPost, body: "{", status: http.StatusBadRequest},
		"no id":           {method: http.MethodPost, body: `{"data":""}`, status: http.StatusBadRequest},
		"too large":       {method: http.MethodPost, body: strings.Repeat(" ", 3<<20), status: http.StatusRequestEntityTooLarge},
		"negative from":   {method: http.MethodGet, query: "?from=-1", status: http.StatusBadRequest},
		"limit no number": {method: http.MethodGet, query: "?limit=x", status: http.StatusBadRequest},
		"other method":    {method: http.MethodDelete, status: http.StatusMethodNotAllowed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(c.method, loglist.PathRecords+c.query, strings.NewReader(c.body)))
			if answer.Code != c.status {
				t.Fatalf("status %d", answer.Code)
			}
		})
	}
}

// TestListShowsWrongAndHidesEntries checks that "wrong" replaces and adds
// entries, that "hide" removes them, and that both can be cleared.
func TestListShowsWrongAndHidesEntries(t *testing.T) {
	list := standin.NewList([]loglist.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}, 0)
	setFault(t, list.Faults(), "wrong", []loglist.Instance{{ID: "b", Address: "elsewhere"}, {ID: "ghost"}})
	setFault(t, list.Faults(), "hide", []string{"c"})
	var shown []string
	for _, instance := range list.Instances().Instances {
		shown = append(shown, instance.ID+instance.Address)
	}
	if diff := cmp.Diff([]string{"a", "belsewhere", "ghost"}, shown); diff != "" {
		t.Fatal(diff)
	}
	list.Faults().Clear()
	if shown := list.Instances().Instances; len(shown) != 3 {
		t.Fatalf("after clearing: %+v", shown)
	}
}

func TestFaultSwitchesOverHTTP(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	handler := log.Faults().Handler()
	post := func(body string) int {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, standin.PathFault, strings.NewReader(body)))
		return answer.Code
	}
	for body, status := range map[string]int{
		`{"name":"latency","value":"5ms"}`:    http.StatusOK,
		`{"name":"down","value":true}`:        http.StatusOK,
		`{"name":"latency","value":"-5ms"}`:   http.StatusBadRequest,
		`{"name":"lose_answers","value":"x"}`: http.StatusBadRequest,
		`{"name":"no such","value":1}`:        http.StatusBadRequest,
		`{`:                                   http.StatusBadRequest,
	} {
		if got := post(body); got != status {
			t.Errorf("POST %s: status %d", body, got)
		}
	}
	values := func(method string) map[string]any {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(method, standin.PathFault, nil))
		var list []standin.FaultStatus
		if err := json.Unmarshal(answer.Body.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		byName := make(map[string]any)
		for _, status := range list {
			byName[status.Name] = status.Value
		}
		return byName
	}
	if got := values(http.MethodGet); got["latency"] != "5ms" || got["down"] != true {
		t.Fatalf("switches %v", got)
	}
	if got := values(http.MethodDelete); got["latency"] != "0s" || got["down"] != false {
		t.Fatalf("cleared switches %v", got)
	}
}

func setFault(t *testing.T, faults *standin.Faults, name string, value any) {
	t.Helper()
	if err := faults.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
