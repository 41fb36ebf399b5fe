package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Key prefixes of the records of a job. The job's id follows, and for progress the
// name of the record.
const (
	admissionPrefix = "a/"
	progressPrefix  = "p/"
)

// Batch is a group of changes that are appended to the log one after the other, with
// the actions to take once all are committed.
type Batch struct {
	// Records is filled by Seal.
	Records []keyedlog.Record

	admitted map[workload.ID]*jobEntry
	// admissionBytes is the approximate size of the admissions.
	admissionBytes int
	progressed     map[workload.ID]*jobEntry
	// ended holds the jobs whose final state is in the records, ordered by id.
	// Seal fills it, because a job may end while the batch is being appended.
	ended   []*jobEntry
	dropped []workload.ID
	starts  []*plannedStart
	// ends gives for each endpoint the number of the last reported end of a run
	// that the batch covers.
	ends map[*fleet.Endpoint]int64
	// silences holds the changes to the records of silent endpoints, by
	// endpoint id.
	silences map[string]silenceChange
	// lateStarts holds the ids of the endpoints whose late starts have changed.
	lateStarts map[string]bool
	// replies are called once the batch is committed.
	replies []func()
}

// plannedStart is a start that waits for its record to be committed.
type plannedStart struct {
	run    *fleet.Run
	permit string
	// expires is when the permit expires; 0 without a permit.
	expires time.Duration
	// waited is how long the step was ready before the task was placed.
	waited time.Duration
}

func newBatch() *Batch {
	return &Batch{
		admitted:   make(map[workload.ID]*jobEntry),
		progressed: make(map[workload.ID]*jobEntry),
		ends:       make(map[*fleet.Endpoint]int64),
		silences:   make(map[string]silenceChange),
		lateStarts: make(map[string]bool),
	}
}

// addAdmission adds a job whose admission has to be stored.
func (b *Batch) addAdmission(e *jobEntry) {
	b.admitted[e.job.ID] = e
	b.admissionBytes += admissionSize(&e.job.Spec)
}

// admissionSize returns the approximate size of a job's admission in bytes.
func admissionSize(spec *workload.Spec) int {
	const perJob, perStep = 100, 80
	return perJob + len(spec.Payload) + perStep*len(spec.Steps)
}

// addProgress adds a job whose progress has to be stored.
func (b *Batch) addProgress(e *jobEntry) { b.progressed[e.job.ID] = e }

// noteEnd records that the end with this number has been processed.
func (b *Batch) noteEnd(e *fleet.Endpoint, number int64) { b.ends[e] = max(b.ends[e], number) }

// empty reports whether the batch has nothing to append and nothing that waits
// for an append.
func (b *Batch) empty() bool {
	return len(b.admitted) == 0 && len(b.progressed) == 0 && len(b.dropped) == 0 &&
		len(b.starts) == 0 && len(b.ends) == 0 && len(b.replies) == 0 && len(b.silences) == 0 && len(b.lateStarts) == 0
}

// observeWaits records the placement waits of the batch's tasks in the metrics.
func (b *Batch) observeWaits() {
	for _, s := range b.starts {
		if s.run.Priority == 0 {
			metrics.PlacementWait.Observe(s.waited)
		} else {
			metrics.PlacementWaitOther.Observe(s.waited)
		}
	}
}

// Seal closes the open batch, fills in its records and returns it. It returns
// nil if there is nothing to append and nothing that waits for an append.
func (c *Core) Seal() *Batch {
	b := c.batch
	if b.empty() {
		return nil
	}
	c.batch = newBatch()
	for _, id := range sortedKeys(b.admitted) {
		c.appendAdmission(b, b.admitted[id].job)
	}
	for _, id := range sortedKeys(b.progressed) {
		e := b.progressed[id]
		c.appendProgress(b, e.job)
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
			// Encoding can't fail, as in appendRecord. Without the record, a
			// later term only waits longer.
			c.log.Error("can't encode the record of a silent endpoint, it is not written", "endpoint", id, "error", err)
			continue
		}
		b.Records = append(b.Records, keyedlog.Record{Key: silentPrefix + id, Value: value})
	}
	c.appendLateStarts(b)
	return b
}

// encodeFailed is the message logged if a record can't be encoded. The types hold nothing that
// can't be, so this is a bug; the job continues.
const encodeFailed = "can't encode a job's record, the job is lost when this term ends"

// appendAdmission adds the admission of a job to the batch.
func (c *Core) appendAdmission(b *Batch, j *workload.Job) {
	value, err := j.EncodeAdmission()
	if err != nil {
		c.log.Error(encodeFailed, "job", j.ID, "error", err)
		return
	}
	b.Records = append(b.Records, keyedlog.Record{Key: admissionPrefix + string(j.ID), Value: value})
}

// appendProgress adds the changed progress records of a job to the batch.
func (c *Core) appendProgress(b *Batch, j *workload.Job) {
	records, err := j.EncodeProgress()
	if err != nil {
		c.log.Error(encodeFailed, "job", j.ID, "error", err)
		return
	}
	for _, r := range records {
		b.Records = append(b.Records, keyedlog.Record{Key: progressPrefix + string(j.ID) + r.Name.String(), Value: r.Data})
	}
}

// sortedKeys returns the ids of the jobs in a map, in order.
func sortedKeys[V any](m map[workload.ID]V) []workload.ID { return slices.Sorted(maps.Keys(m)) }

// maxCallBytes bounds the records of one append: half of what the users' platform
// takes in one call. Only the records of a single job may exceed it.
const maxCallBytes = 1 << 20

// Calls splits the records of a batch into those of one append each, in order. The
// progress records of a job stay together, as they have to be stored together.
func (b *Batch) Calls() [][]keyedlog.Record {
	var calls [][]keyedlog.Record
	from, size := 0, 0
	for i := 0; i < len(b.Records); {
		end, groupSize := i, 0
		for end < len(b.Records) && (end == i || jobOf(b.Records[end].Key) == jobOf(b.Records[i].Key)) {
			groupSize += len(b.Records[end].Key) + len(b.Records[end].Value)
			end++
		}
		if size+groupSize > maxCallBytes && i > from {
			calls = append(calls, b.Records[from:i])
			from, size = i, 0
		}
		size += groupSize
		i = end
	}
	if from < len(b.Records) {
		calls = append(calls, b.Records[from:])
	}
	return calls
}

// jobOf returns the id of the job that a key is about; for other keys, what follows
// their prefix.
func jobOf(key string) string {
	rest := key[min(len(progressPrefix), len(key)):]
	return rest[:min(workload.IDLength, len(rest))]
}

// Committed processes a batch that is now in the log: it answers callers, sends
// the recorded starts and allows ends to be acknowledged.
func (c *Core) Committed(now clock.Instant, b *Batch) {
	for _, e := range b.admitted {
		e.admitted = true
		for _, reply := range e.waiters {
			reply(SubmitResult{})
		}
		e.waiters = nil
	}
	for _, e := range b.ended {
		c.jobEndCommitted(now, e)
	}
	c.flow.enqueue(b.starts)
	c.sendReadyStarts(now)
	for e, number := range b.ends {
		e.Acked = max(e.Acked, number)
		es := c.endpointStateOf(e)
		es.nextHoldAt = max(now.Steady, es.holdNotBefore)
	}
	c.silencesCommitted(b)
	for _, reply := range b.replies {
		reply()
	}
}

// jobEndCommitted marks a job as ended once its final state is in the log, and
// stops the job's remaining runs.
func (c *Core) jobEndCommitted(now clock.Instant, e *jobEntry) {
	if e.ended {
		return
	}
	e.ended = true
	c.log.Info("job ended", "job", e.job.ID, "state", e.job.State())
	c.countLate(now, e.job)
	c.ended = append(c.ended, e)
	c.stopJob(now, e.job)
}
