// Package journal follows the platform's log, applies its records to the
// cell's state and appends records of the daemon's own.
//
// An append counts only once the record has been read back and its effect is
// known: a record may be void where it stands.
package journal

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/pkg/errors"
)

// ErrOutcomeUnknown means that an append may or may not stand in the log. The
// record's effect, if it comes, is still delivered to observers.
var ErrOutcomeUnknown = errors.New("the log did not confirm the record in time; read it back before appending it again")

// ErrNotAppended means that the record certainly does not stand in the log.
var ErrNotAppended = errors.New("the log is unavailable and the record was not appended; try again when it is back")

// Observer is told of every applied record in log order. It must not block.
type Observer func(cell.Effect)

// Journal is the daemon's view of the log. It is safe for concurrent use.
type Journal struct {
	log   loglist.Log
	state *cell.State
	slog  *slog.Logger
	// floor is the first offset that the log still keeps, as far as it is
	// known. Only the tail uses it.
	floor uint64

	mu        sync.Mutex
	observers []Observer
	waiters   map[string]chan cell.Effect
	fresh     freshness
	ring      *ring
	readWait  time.Duration
	// first and end bound what the log keeps.
	first, end uint64
	// lastPage is the number of records of the last page, hurry ends the wait
	// for further ones.
	lastPage int
	hurry    chan struct{}
	// advanced is closed and replaced whenever a page has been applied.
	advanced chan struct{}
}

// Option changes a default of a Journal.
type Option func(*Journal)

// WithReadWait sets how long a read of the log waits for new records. It
// bounds how old the proof of freshness gets while nothing is written.
func WithReadWait(d time.Duration) Option { return func(j *Journal) { j.readWait = d } }

// New returns a journal over log that fills state.
func New(log loglist.Log, state *cell.State, logger *slog.Logger, options ...Option) *Journal {
	j := &Journal{
		log:      log,
		state:    state,
		slog:     logger,
		waiters:  make(map[string]chan cell.Effect),
		ring:     newRing(ringBytes),
		advanced: make(chan struct{}),
		hurry:    make(chan struct{}, 1),
		readWait: defaultReadWait,
	}
	for _, option := range options {
		option(j)
	}
	return j
}

// Observe registers f; it must be called before the tail starts.
func (j *Journal) Observe(f Observer) {
	j.observers = append(j.observers, f)
}

// State is the state that the journal fills.
func (j *Journal) State() *cell.State { return j.state }

// Append appends e and waits until it has been applied here.
func (j *Journal) Append(ctx context.Context, e *record.Envelope) (cell.Effect, error) {
	return j.AppendID(ctx, NewID(), e)
}

// AppendID is Append with an id chosen by the caller.
func (j *Journal) AppendID(ctx context.Context, id string, e *record.Envelope) (cell.Effect, error) {
	data, err := record.Encode(e)
	if err != nil {
		return cell.Effect{}, err
	}
	done := j.await(id)
	defer j.forget(id)
	metrics.Appends.Add(e.Kind.String(), 1)
	metrics.AppendBytes.Add(int64(len(data)))
	if _, err = j.log.Append(ctx, id, data); err != nil && !loglist.MayBeAppended(err) {
		return cell.Effect{}, errors.Wrap(ErrNotAppended, err.Error())
	}
	select {
	case effect := <-done:
		return effect, nil
	case <-ctx.Done():
		return cell.Effect{}, ErrOutcomeUnknown
	}
}

// await registers a waiter for the effect of record id.
func (j *Journal) await(id string) <-chan cell.Effect {
	c := make(chan cell.Effect, 1)
	j.mu.Lock()
	j.waiters[id] = c
	j.mu.Unlock()
	select {
	case j.hurry <- struct{}{}:
	default:
	}
	return c
}

// forget removes the waiter for id.
func (j *Journal) forget(id string) {
	j.mu.Lock()
	delete(j.waiters, id)
	j.mu.Unlock()
}

// apply applies one record and tells the observers and its waiter.
func (j *Journal) apply(r loglist.Record) {
	if r.Offset <= j.state.Applied() {
		return
	}
	effect := j.state.Apply(r.Offset, r.ID, r.Data)
	j.note(effect)
	j.mu.Lock()
	j.ring.add(r)
	waiter := j.waiters[r.ID]
	delete(j.waiters, r.ID)
	j.mu.Unlock()
	for _, observe := range j.observers {
		observe(effect)
	}
	if waiter != nil {
		waiter <- effect
	}
}

// note counts the effect and logs what operators should see.
func (j *Journal) note(effect cell.Effect) {
	metrics.Applied.Set(int64(effect.Offset))
	if effect.Valid {
		if effect.Kind == record.KindConfig {
			_, version := j.state.Config()
			metrics.ConfigVersion.Set(int64(version))
			j.slog.Info("configuration in force", "version", version)
		}
		return
	}
	metrics.VoidRecords.Add(effect.Kind.String(), 1)
	level := slog.LevelDebug
	if effect.Kind == record.KindConfig {
		level = slog.LevelWarn
	}
	j.slog.Log(context.Background(), level, "void log record", "offset", effect.Offset, "kind", effect.Kind.String(), "reason", effect.Reason)
}

// idBytes is the size of a random record id.
const idBytes = 12

// NewID returns a random id.
func NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// freshness is the latest proof that the applied state was current.
type freshness struct {
	at     time.Time
	offset uint64
	proven bool
}

// Fresh returns how long ago the state applied here was known to reach the
// end of the log, and the offset of that end; ok is false if never.
func (j *Journal) Fresh() (age time.Duration, offset uint64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.fresh.proven {
		return 0, 0, false
	}
	return time.Since(j.fresh.at), j.fresh.offset, true
}

// MarkFresh records that the log ended at offset end (the next to be written) at
// the instant at. It counts only if everything below end has been applied.
func (j *Journal) MarkFresh(at time.Time, end uint64) {
	if end > j.state.Applied()+1 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.fresh.proven && !at.After(j.fresh.at) {
		return
	}
	j.fresh = freshness{at: at, offset: end, proven: true}
}
