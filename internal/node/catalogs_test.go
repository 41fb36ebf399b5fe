package node

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/evacuation"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"gopkg.in/tomb.v2"
)

// trimmingLog is a memoryLog that may drop its history. It keeps the newest record of each
// key, none if that has no value.
type trimmingLog struct {
	memoryLog
	trimMu sync.Mutex
	first  int64
}

func (l *trimmingLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Page, error) {
	l.trimMu.Lock()
	first := l.first
	l.trimMu.Unlock()
	if from < first {
		return keyedlog.Page{}, &keyedlog.Error{Kind: keyedlog.KindTrimmed, Number: first}
	}
	return l.memoryLog.Read(ctx, p, from, wait)
}

func (l *trimmingLog) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.NewestPage, error) {
	page, err := l.memoryLog.Newest(ctx, p, after)
	page.Entries = slices.DeleteFunc(page.Entries, func(e keyedlog.Entry) bool { return len(e.Value) == 0 })
	return page, err
}

// evacuate appends requests to empty zones, or those that take them back, and drops the
// history up to the last one if trimmed is set.
func (l *trimmingLog) evacuate(trimmed bool, value string, zones ...string) {
	l.trimMu.Lock()
	defer l.trimMu.Unlock()
	for _, zone := range zones {
		r := keyedlog.Record{Key: "evacuate/" + zone, Value: []byte(value)}
		result, _ := l.Append(context.Background(), keyedlog.Append{Partition: configPartition, Records: []keyedlog.Record{r}})
		if trimmed {
			l.first = result.End
		}
	}
}

// decodeTestRequest decodes what evacuate has appended.
func decodeTestRequest(r keyedlog.Record) (evacuation.Record, bool, error) {
	zone, ok := strings.CutPrefix(r.Key, "evacuate/")
	return evacuation.Record{Zone: zone, Requested: len(r.Value) > 0}, ok, nil
}

// decodeTestCatalog decodes what publish has appended.
func decodeTestCatalog(r keyedlog.Record) (*catalog.Catalog, error) {
	if r.Key != "config" {
		return nil, nil
	}
	return decodeVersion(r)
}

// newTrimmingFollower returns a follower of a new trimmingLog.
func newTrimmingFollower() (*catalogFollower, *trimmingLog) {
	log := &trimmingLog{memoryLog: memoryLog{entries: make(map[keyedlog.Partition][]keyedlog.Entry)}}
	feed := CatalogFeed{Partition: configPartition, Decode: decodeTestCatalog, Evacuation: decodeTestRequest}
	return newCatalogFollower(feed, log, clock.System(), slog.New(slog.DiscardHandler)), log
}

// TestRequestsOutliveTheHistory drops the history of the operator's records, once with
// requests to empty zones in it and once with those that take them back. Neither may get
// lost with it.
func TestRequestsOutliveTheHistory(t *testing.T) {
	follower, log := newTrimmingFollower()
	told := make(chan evacuation.Zones, 16)
	follower.onEvacuations = func() { told <- follower.Evacuations() }
	daemon := new(tomb.Tomb)
	daemon.Go(func() error { return follower.run(daemon) })
	defer func() {
		daemon.Kill(nil)
		_ = daemon.Wait()
	}()
	expect := func(what string, zones ...string) {
		t.Helper()
		timeout := time.After(10 * time.Second)
		for {
			select {
			case got := <-told:
				if added, removed := got.Changes(setOf(zones)); len(added)+len(removed) == 0 {
					return
				}
			case <-timeout:
				t.Fatalf("%s: the zones are %v, want %v", what, follower.Evacuations(), zones)
			}
		}
	}
	log.evacuate(false, "{}", "z1")
	expect("requested", "z1")
	log.evacuate(true, "{}", "z2", "z3")
	expect("requested, history dropped", "z1", "z2", "z3")
	log.evacuate(true, "", "z1", "z3")
	expect("taken back, history dropped", "z2")
	log.evacuate(false, "", "z2", "z2", "z1")
	expect("removed twice")
}

func setOf(zones []string) evacuation.Zones {
	set := make(evacuation.Zones)
	for _, zone := range zones {
		set[zone] = true
	}
	return set
}

// TestTermBeginsWithZonesBeingEmptied lets a daemon that has missed a request to empty a
// zone begin a term. It must not start work there until it follows the records again.
func TestTermBeginsWithZonesBeingEmptied(t *testing.T) {
	follower, log := newTrimmingFollower()
	log.publish(1)
	if err := follower.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	log.evacuate(true, "{}", "z1")
	begun := startTestTerm(t, follower, log)
	if n := begun.controller.Stats().Evacuated; n != 1 {
		t.Errorf("%d zones are being emptied, want 1", n)
	}
}
