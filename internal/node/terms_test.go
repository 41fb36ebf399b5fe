package node

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// memoryLog is a keyedlog.Log in memory without faults.
type memoryLog struct {
	mu      sync.Mutex
	entries map[keyedlog.Partition][]keyedlog.Entry
}

func (l *memoryLog) Append(_ context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := int64(len(l.entries[a.Partition]))
	for _, r := range a.Records {
		l.entries[a.Partition] = append(l.entries[a.Partition], keyedlog.Entry{Offset: int64(len(l.entries[a.Partition])), Record: r})
	}
	return keyedlog.AppendResult{Offset: first, End: int64(len(l.entries[a.Partition]))}, nil
}

func (l *memoryLog) Read(_ context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Page, error) {
	// A caller that follows a partition polls it.
	const poll = 10 * time.Millisecond
	time.Sleep(min(wait, poll))
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.entries[p]
	return keyedlog.Page{Entries: all[min(from, int64(len(all))):], End: int64(len(all))}, nil
}

func (l *memoryLog) Newest(_ context.Context, p keyedlog.Partition, after string) (keyedlog.NewestPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := keyedlog.NewestPage{End: int64(len(l.entries[p]))}
	for i, e := range l.entries[p] {
		newest := true
		for _, later := range l.entries[p][i+1:] {
			newest = newest && later.Key != e.Key
		}
		if newest && e.Key > after {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

var configPartition = keyedlog.Partition{Topic: "config"}

// publish appends a configuration of the given version.
func (l *memoryLog) publish(version int) {
	record := keyedlog.Record{Key: "config", Value: []byte(strconv.Itoa(version))}
	_, _ = l.Append(context.Background(), keyedlog.Append{Partition: configPartition, Records: []keyedlog.Record{record}})
}

// decodeVersion decodes what publish has appended.
func decodeVersion(r keyedlog.Record) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	c := &catalog.Catalog{
		Version:   version,
		Queues:    []catalog.Queue{{Name: "queue", Pool: "pool"}},
		Pools:     map[string]catalog.Pool{"pool": {Name: "pool"}},
		Customers: map[string]catalog.Customer{"customer": {Name: "customer"}},
	}
	return c, c.Index()
}

// newTestTerm starts a term of a daemon that has read configuration 1 and follows no
// later one.
func newTestTerm(t *testing.T, log *memoryLog) *term {
	logger := slog.New(slog.DiscardHandler)
	catalogs := &catalogFollower{
		feed:     CatalogFeed{Partition: configPartition, Decode: decodeVersion},
		log:      log,
		clock:    clock.System(),
		logger:   logger,
		onChange: func(*catalog.Catalog) {},
	}
	log.publish(1)
	if err := catalogs.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	log.publish(2)
	return startTestTerm(t, catalogs, log)
}

// startTestTerm starts a term of a daemon.
func startTestTerm(t *testing.T, catalogs *catalogFollower, log keyedlog.Log) *term {
	daemon, running := new(tomb.Tomb), new(tomb.Tomb)
	alive := func() error {
		<-daemon.Dying()
		return nil
	}
	daemon.Go(alive)
	terms := &termManager{
		log:  log,
		jobs: keyedlog.Partition{Topic: "jobs"},
		registry: RegistryFeed{
			Partition: keyedlog.Partition{Topic: "registry"},
			Decode: func(keyedlog.Record) (fleet.Registration, error) {
				return fleet.Registration{}, errors.New("no endpoint")
			},
		},
		params: controller.Params{
			Lease: time.Second, TermGrace: time.Minute, RateWindow: time.Second, StateKept: time.Minute,
			Features: controller.Features{Evacuation: true},
		},
		clock:    clock.System(),
		logger:   catalogs.logger,
		catalogs: catalogs,
		tomb:     daemon,
	}
	begun, err := terms.startTerm(running, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		running.Kill(nil)
		daemon.Kill(nil)
		_ = running.Wait()
		_ = daemon.Wait()
	})
	return begun
}

// TestTermBeginsWithNewestConfiguration lets a daemon that has missed a configuration begin
// a term. It must not read the jobs with an older configuration than the last holder had.
func TestTermBeginsWithNewestConfiguration(t *testing.T) {
	begun := newTestTerm(t, &memoryLog{entries: make(map[keyedlog.Partition][]keyedlog.Entry)})
	if version := begun.controller.Version(); version != 2 {
		t.Errorf("the term begins with configuration %d, want 2", version)
	}
}

// TestStoredJobIsConfirmedByHolderThatIsBehind sends a stored job again, through a daemon
// with a newer configuration than the holder's. "Not run" would be untrue.
func TestStoredJobIsConfirmedByHolderThatIsBehind(t *testing.T) {
	begun := newTestTerm(t, &memoryLog{entries: make(map[keyedlog.Partition][]keyedlog.Entry)})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	job := func(id workload.ID) *workload.Job {
		return workload.NewJob(id, "queue", "customer", time.Now(), workload.Spec{Steps: []workload.Step{{Count: 1, Estimate: time.Second}}})
	}
	const stored, unknown = "0000000000000001", "0000000000000002"
	current := begun.controller.Version()
	if p, err := begun.Submit(ctx, job(stored), current); p != nil || err != nil {
		t.Fatalf("the job is not accepted: %v, %v", p, err)
	}
	if p, err := begun.Submit(ctx, job(stored), current+1); p != nil || err != nil {
		t.Errorf("sent again, the job is not confirmed: %v, %v", p, err)
	}
	if p, err := begun.Submit(ctx, job(unknown), current+1); p == nil || p.Code != problem.ConfigNotFresh || err != nil {
		t.Errorf("a new job gets %v, %v; want a refusal until the configuration is read", p, err)
	}
}
