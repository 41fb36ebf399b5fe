// Package journal follows the platform's log, applies its records to the cell's
// state and appends this daemon's records.
//
// An append succeeds only once the record has been read back and its effect is
// known, since the records before it can make a record void.
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

// ErrOutcomeUnknown means that a record may or may not have been appended. If it is
// read back later, its effect is still delivered to observers.
var ErrOutcomeUnknown = errors.New("the log did not confirm the record in time; read it back before appending it again")

// ErrNotAppended means that the record was certainly not appended to the log.
var ErrNotAppended = errors.New("the log is unavailable and the record was not appended; try again when it is back")

// Observer is called with the effect of every applied record, in log order. It must
// not block.
type Observer func(cell.Effect)

// Journal reads and appends to the log for a daemon. It is safe for concurrent use.
type Journal struct {
	log    loglist.Log
	state  *cell.State
	logger *slog.Logger
	// firstReadable is the lowest offset that the log retains, as learned from
	// a failed read. Only the goroutine of Run uses it.
	firstReadable uint64

	mu        sync.Mutex
	observers []Observer
	waiters   map[string]chan cell.Effect
	fresh     freshness
	ring      *ring
	readWait  time.Duration
	// first and end are the lowest retained offset and the end of the log, as
	// last known.
	first, end uint64
	// lastPage is the number of records in the last page.
	lastPage int
	// appendStarted receives a value when an append starts, which ends the
	// pause between two pages.
	appendStarted chan struct{}
	// advanced is closed and replaced whenever a page has been applied.
	advanced chan struct{}
}

// Option changes a default of a Journal.
type Option func(*Journal)

// WithReadWait sets how long a read of the log waits for new records. This limits the
// age of the proof of freshness while nothing is appended, because each read renews it.
func WithReadWait(d time.Duration) Option { return func(j *Journal) { j.readWait = d } }

// New returns a journal that applies the records of log to state.
func New(log loglist.Log, state *cell.State, logger *slog.Logger, options ...Option) *Journal {
	j := &Journal{
		log:           log,
		state:         state,
		logger:        logger,
		waiters:       make(map[string]chan cell.Effect),
		ring:          newRing(ringBytes),
		advanced:      make(chan struct{}),
		appendStarted: make(chan struct{}, 1),
		readWait:      defaultReadWait,
	}
	for _, option := range options {
		option(j)
	}
	return j
}

// Observe registers an observer. It must be called before Run.
func (j *Journal) Observe(f Observer) {
	j.observers = append(j.observers, f)
}

// State returns the state to which the journal applies records.
func (j *Journal) State() *cell.State { return j.state }

// Append appends a record, waits until it has been applied here and returns its
// effect. It fails with ErrNotAppended if the log refused the record, and with
// ErrOutcomeUnknown if the record was not read back before the end of ctx.
func (j *Journal) Append(ctx context.Context, e *record.Envelope) (cell.Effect, error) {
	return j.AppendID(ctx, NewID(), e)
}

// AppendID is like Append, with a record id that the caller chooses.
func (j *Journal) AppendID(ctx context.Context, id string, e *record.Envelope) (cell.Effect, error) {
	data, err := record.Encode(e)
	if err != nil {
		return cell.Effect{}, err
	}
	done := j.addWaiter(id)
	defer j.removeWaiter(id)
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

// addWaiter returns a channel that receives the effect of the record with the given
// id, and ends the pause between two pages so that it is read back soon.
func (j *Journal) addWaiter(id string) <-chan cell.Effect {
	c := make(chan cell.Effect, 1)
	j.mu.Lock()
	j.waiters[id] = c
	j.mu.Unlock()
	select {
	case j.appendStarted <- struct{}{}:
	default:
	}
	return c
}

// removeWaiter removes the waiter for a record id.
func (j *Journal) removeWaiter(id string) {
	j.mu.Lock()
	delete(j.waiters, id)
	j.mu.Unlock()
}

// apply applies one record and passes its effect to the observers and its waiter.
// Records that have been applied already are ignored.
func (j *Journal) apply(r loglist.Record) {
	if r.Offset <= j.state.Applied() {
		return
	}
	effect := j.state.Apply(r.Offset, r.ID, r.Data)
	j.reportEffect(effect)
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

// reportEffect updates the metrics for an applied record and logs new configurations
// and void records.
func (j *Journal) reportEffect(effect cell.Effect) {
	metrics.Applied.Set(int64(effect.Offset))
	if effect.Valid {
		if effect.Kind == record.KindConfig {
			_, version := j.state.Config()
			metrics.ConfigVersion.Set(int64(version))
			j.logger.Info("configuration in force", "version", version)
		}
		return
	}
	metrics.VoidRecords.Add(effect.Kind.String(), 1)
	level := slog.LevelDebug
	if effect.Kind == record.KindConfig {
		level = slog.LevelWarn
	}
	j.logger.Log(context.Background(), level, "void log record", "offset", effect.Offset, "kind", effect.Kind.String(), "reason", effect.Reason)
}

// idBytes is the number of random bytes in a record id.
const idBytes = 12

// NewID returns a random record id.
func NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// freshness is the latest proof that the applied state was current: at the time at,
// the log ended at offset and everything below had been applied.
type freshness struct {
	at     time.Time
	offset uint64
	proven bool
}

// Fresh returns how long ago the state applied here was last proven to reach the end
// of the log, and the offset of that end; ok is false if it never was.
func (j *Journal) Fresh() (age time.Duration, offset uint64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.fresh.proven {
		return 0, 0, false
	}
	return time.Since(j.fresh.at), j.fresh.offset, true
}

// MarkFresh records a proof of freshness: at the time at, the log ended at offset
// end, which is the next offset to be written. The proof is ignored unless everything
// below end has been applied here, and if it is older than the known one.
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
