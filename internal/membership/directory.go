// Package membership tracks which instances exist, according to the platform's
// list, which lags behind, and which daemons are running, according to heartbeats.
package membership

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// listTimeout limits how long reading the list once may take.
	listTimeout = 2 * time.Second
)

// Directory holds the latest list of instances: all daemons, and the endpoints of one
// availability zone. It is safe for concurrent use.
type Directory struct {
	lister loglist.Lister
	zone   string
	logger *slog.Logger

	mu      sync.Mutex
	entries map[string]entry
	// firstRead and lastRead are the times of the first and of the latest
	// successful read.
	firstRead time.Time
	lastRead  time.Time
}

// entry is an instance and since when it has been absent from the list; the zero
// time means that it is listed.
type entry struct {
	instance    loglist.Instance
	absentSince time.Time
}

// NewDirectory returns a directory for a zone. It is empty until Run has read the
// list.
func NewDirectory(lister loglist.Lister, zone string, logger *slog.Logger) *Directory {
	return &Directory{lister: lister, zone: zone, logger: logger, entries: make(map[string]entry)}
}

// Run reads the list once per second until t dies.
func (d *Directory) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		d.refresh(t.Context(context.Background()))
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh reads the list once. If that fails, the previous list stays in use.
func (d *Directory) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := d.lister.Instances(ctx, loglist.Filter{Role: loglist.RoleEntry})
	if err != nil {
		metrics.ListFailures.Add(1)
		d.logger.Debug("read of the instance list failed", "error", err)
		return
	}
	own, err := d.lister.Instances(ctx, loglist.Filter{AvailabilityZone: d.zone})
	if err != nil {
		metrics.ListFailures.Add(1)
		d.logger.Debug("read of the zone's instance list failed", "error", err)
		return
	}
	d.replace(slices.Concat(entries.Instances, own.Instances), time.Now())
}

// replace installs a list that was read at now.
func (d *Directory) replace(list []loglist.Instance, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.firstRead.IsZero() {
		d.firstRead = now
	}
	d.lastRead = now
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		d.entries[i.ID] = entry{instance: i}
	}
	for id, e := range d.entries {
		if listed[id] || !e.absentSince.IsZero() {
			continue
		}
		e.absentSince = now
		d.entries[id] = e
	}
}

// Ready reports whether the list has been read at least once.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.firstRead.IsZero()
}

// Listed returns the listed instances for which keep returns true, ordered by id.
func (d *Directory) Listed(keep func(loglist.Instance) bool) []loglist.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []loglist.Instance
	for _, e := range d.entries {
		if e.absentSince.IsZero() && keep(e.instance) {
			out = append(out, e.instance)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Instance returns the instance with the given id, and false if it is not listed.
func (d *Directory) Instance(id string) (loglist.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[id]
	return e.instance, ok && e.absentSince.IsZero()
}

// AbsentFor reports whether the instance has been absent from all successful reads
// of the list over a period of at least bound. For an instance that was never listed
// the period begins with the first read, but not before since, which is when the
// caller started to ask. The period ends with the latest successful read, since a
// time without reads does not prove absence.
func (d *Directory) AbsentFor(id string, bound time.Duration, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.firstRead.IsZero() {
		return false
	}
	absentSince := later(d.firstRead, since)
	if e, known := d.entries[id]; known {
		if e.absentSince.IsZero() {
			return false
		}
		absentSince = e.absentSince
	}
	return d.lastRead.Sub(absentSince) >= bound
}

// Resolve returns the listed address of an instance, or fallback if the instance is
// not listed. holder is an instance id or the name under which the instance claims
// its zone, "id/incarnation".
func (d *Directory) Resolve(holder, fallback string) string {
	id, _, _ := strings.Cut(holder, "/")
	if i, ok := d.Instance(id); ok {
		return i.Address
	}
	return fallback
}
