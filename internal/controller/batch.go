package controller

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Prefixes of the keys of a job's two records.
const (
	admissionPrefix = "a/"
	progressPrefix  = "p/"
)

// Batch is a group of changes that are appended together, and what may be
// done once they stand in the log.
type Batch struct {
	// Records is filled by Seal.
	Records []keyedlog.Record

	admitted map[workload.ID]*jobEntry
	// size is about how many bytes the admissions take.
	size    int
	touched map[workload.ID]*jobEntry
	// ended are the jobs whose final state the records hold, in order of id;
	// Seal fills it. A job may end while the batch is being appended.
	ended   []*jobEntry
	dropped []workload.ID
	starts  []*plannedStart
	// noted gives the ends of an endpoint that the batch has taken in.
	noted map[*fleet.Endpoint]int64
	// silences are changes of the records of silent endpoints, by id.
	silences map[string]silence
	// replies are told that the batch stands in the log.
	replies []func()
}

// plannedStart is a start that waits for its record.
type plannedStart struct {
	run    *fleet.Run
	permit string
	// expires is when the permit is not good any more; 0 without one.
	expires time.Duration
	// waited is how long the task's turn had come before its place was found.
	waited time.Duration
}

func newBatch() *Batch {
	return &Batch{
		admitted: make(map[workload.ID]*jobEntry),
		touched:  make(map[workload.ID]*jobEntry),
		noted:    make(map[*fleet.Endpoint]int64),
		silences: make(map[string]silence),
	}
}

// admit adds a job whose admission has to be stored.
func (b *Batch) admit(e *jobEntry) {
	b.admitted[e.job.ID] = e
	b.size += admissionSize(&e.job.Spec)
}

// admissionSize is about how many bytes the admission of a job takes.
func admissionSize(spec *workload.Spec) int {
	const perJob, perStep = 100, 80
	return perJob + len(spec.Payload) + perStep*len(spec.Steps)
}

// touch notes that a job's progress has to be stored.
func (b *Batch) touch(e *jobEntry) { b.touched[e.job.ID] = e }

// note notes that an end has been taken in.
func (b *Batch) note(e *fleet.Endpoint, number int64) { b.noted[e] = max(b.noted[e], number) }

// empty reports whether the batch holds nothing.
func (b *Batch) empty() bool {
	return len(b.admitted) == 0 && len(b.touched) == 0 && len(b.dropped) == 0 &&
		len(b.starts) == 0 && len(b.noted) == 0 && len(b.replies) == 0 && len(b.silences) == 0
}

// observe counts how long the tasks waited that a batch has started.
func (b *Batch) observe() {
	for _, s := range b.starts {
		if s.run.Priority == 0 {
			metrics.PlacementWait.Observe(s.waited)
		} else {
			metrics.PlacementWaitOther.Observe(s.waited)
		}
	}
}

// Seal closes the open batch and returns it with its records, nil if there is
// nothing to append and nothing that waits.
func (c *Core) Seal() *Batch {
	b := c.batch
	if b.empty() {
		return nil
	}
	c.batch = newBatch()
	for _, id := range sortedIDs(b.admitted) {
		c.put(b, admissionPrefix, id, b.admitted[id].job.EncodeAdmission)
	}
	for _, id := range sortedIDs(b.touched) {
		e := b.touched[id]
		c.put(b, progressPrefix, id, e.job.EncodeProgress)
		if !e.job.Final() {
			continue
		}
		b.ended = append(b.ended, e)
		if !e.job.HasUnfinishedRuns() {
			b.Records = append(b.Records, keyedlog.Record{Key: admissionPrefix + string(id)})
		}
	}
	for _, id := range b.dropped {
		b.Records = append(b.Records, keyedlog.Record{Key: progressPrefix + string(id)})
	}
	for _, id := range slices.Sorted(maps.Keys(b.silences)) {
		value, err := b.silences[id].value()
		if err != nil {
			// As above; without the record, a later term waits longer.
			c.log.Error("the record of a silent endpoint was not written", "endpoint", id, "error", err)
			continue
		}
		b.Records = append(b.Records, keyedlog.Record{Key: silentPrefix + id, Value: value})
	}
	return b
}

// put encodes one record of a job.
func (c *Core) put(b *Batch, prefix string, id workload.ID, encode func() ([]byte, error)) {
	value, err := encode()
	if err != nil {
		// The types hold nothing that can't be encoded, so this is a mistake
		// in the program; the job goes on and is lost with the term.
		c.log.Error("a job's record was not written, it would be lost with this term", "job", id, "error", err)
		return
	}
	b.Records = append(b.Records, keyedlog.Record{Key: prefix + string(id), Value: value})
}

func sortedIDs(m map[workload.ID]*jobEntry) []workload.ID {
	ids := make([]workload.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	return ids
}

// Committed notes that a batch stands in the log and does what waited for it.
func (c *Core) Committed(now clock.Instant, b *Batch) {
	for _, e := range b.admitted {
		e.admitted = true
		for _, tell := range e.waiters {
			tell(SubmitResult{})
		}
		e.waiters = nil
	}
	for _, e := range b.ended {
		c.confirmEnd(now, e)
	}
	c.flow.ready(b.starts)
	c.sendReady(now)
	for e, number := range b.noted {
		e.Acked = max(e.Acked, number)
		ec := c.controlOf(e)
		ec.holdAt = max(now.Steady, ec.holdNotBefore)
	}
	c.silencesCommitted(b)
	for _, tell := range b.replies {
		tell()
	}
}

// confirmEnd notes that a job's final state stands in the log and stops what
// is left of the job.
func (c *Core) confirmEnd(now clock.Instant, e *jobEntry) {
	if e.ended {
		return
	}
	e.ended = true
	c.log.Info("job ended", "job", e.job.ID, "state", e.job.State())
	c.ended = append(c.ended, e)
	c.stopJob(now, e.job)
}
