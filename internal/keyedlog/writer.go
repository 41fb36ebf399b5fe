package keyedlog

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// minRefusedPause and maxRefusedPause limit the backoff after an append was
	// refused. Refused calls are charged for and count against the log's rate
	// limit.
	minRefusedPause = 50 * time.Millisecond
	maxRefusedPause = 800 * time.Millisecond
	// minAttemptTimeout and maxAttemptTimeout limit how long an attempt waits
	// for its answer. Repeating an append is harmless. The timeout doubles with
	// each attempt that is not answered, so that a slow log can still answer.
	minAttemptTimeout = 80 * time.Millisecond
	maxAttemptTimeout = 2 * time.Second
	// attemptTimeoutFactor times the typical latency is the timeout of the first
	// attempt. The typical latency is an exponentially weighted moving average,
	// in which latencyWeight is the weight of the latest append.
	attemptTimeoutFactor = 4
	latencyWeight        = 0.2
	// outOfOrderPause is the pause before an append is repeated that reached
	// the log before its predecessor.
	outOfOrderPause = 5 * time.Millisecond
)

// MaxInFlight is the largest number of appends of a writer that may be in flight at
// once. It is less than five because the log recognizes repetitions of only its last
// five appends, which it answers as it did the first time.
const MaxInFlight = 4

// Writer appends to one partition under one epoch. Its appends take effect in the
// order in which they were begun, even if several are in flight. Callers keep the
// number of appends in flight within MaxInFlight. Writer is safe for concurrent use.
type Writer struct {
	log       Log
	partition Partition
	name      string
	epoch     int64

	mu sync.Mutex
	// lastSequence is the sequence number of the last append that was begun.
	lastSequence int64
	// inFlight contains the appends that are not confirmed yet, in order.
	inFlight []*Pending
	// typicalLatency is the moving average of the time until an answer.
	typicalLatency time.Duration
	// firstStored is closed once the first append is known to be stored. The
	// log accepts any sequence number as the first of an epoch, so no other
	// append may reach it before the first one.
	firstStored chan struct{}
}

// Pending is an append that has been begun and is sent by Wait.
type Pending struct {
	writer   *Writer
	append   Append
	sequence int64
	// done is closed once the records are known to be stored.
	done chan struct{}
}

// NewWriter returns a writer whose first append has sequence number 1.
func NewWriter(log Log, partition Partition, name string, epoch int64) *Writer {
	return &Writer{log: log, partition: partition, name: name, epoch: epoch, firstStored: make(chan struct{})}
}

// Fence raises the partition's epoch to the writer's without writing a record. Once
// it has returned nil, no append of a lower epoch succeeds. report, if not nil, is
// called with the error of each failed attempt.
func (w *Writer) Fence(ctx context.Context, report func(error)) error {
	p := &Pending{
		writer: w,
		append: Append{Partition: w.partition, Producer: &Producer{Name: w.name, Epoch: w.epoch}},
		done:   make(chan struct{}),
	}
	return p.appendUntilDecided(ctx, report)
}

// BeginAppend begins an append, which fixes its position among the writer's
// appends. The caller has to call Wait to send it.
func (w *Writer) BeginAppend(records []Record) *Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSequence++
	p := &Pending{
		writer: w,
		append: Append{
			Partition: w.partition,
			Records:   records,
			Producer:  &Producer{Name: w.name, Epoch: w.epoch, Sequence: w.lastSequence},
		},
		sequence: w.lastSequence,
		done:     make(chan struct{}),
	}
	w.inFlight = append(w.inFlight, p)
	return p
}

// InFlight returns the number of appends that are not confirmed yet.
func (w *Writer) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight)
}

// Wait sends the append and returns nil once its records are stored. It repeats the
// append until the outcome is known or ctx ends. An error of KindFenced or KindRefused
// means that the records are not stored and never will be. After any other error,
// including one caused by the end of ctx, they may be stored. report, if not nil, is
// called with the error of each failed attempt.
func (p *Pending) Wait(ctx context.Context, report func(error)) error {
	if err := p.awaitFirst(ctx); err != nil {
		return err
	}
	err := p.appendUntilDecided(ctx, report)
	if err == nil {
		p.writer.confirm(p.sequence)
	}
	return err
}

// awaitFirst waits until the writer's first append is stored. The first append itself
// does not wait.
func (p *Pending) awaitFirst(ctx context.Context) error {
	if p.sequence == 1 {
		return nil
	}
	select {
	case <-p.writer.firstStored:
		return nil
	case <-ctx.Done():
		return &Error{Kind: KindRefused, Op: "append", Detail: "not sent because the first append of the epoch is not confirmed: " + ctx.Err().Error()}
	}
}

// confirm records that an append is stored. All earlier appends are stored as well,
// since the log accepts appends in sequence only.
func (w *Writer) confirm(sequence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.inFlight) > 0 && w.inFlight[0].sequence <= sequence {
		if w.inFlight[0].sequence == 1 {
			close(w.firstStored)
		}
		close(w.inFlight[0].done)
		w.inFlight = w.inFlight[1:]
	}
}

// confirmed reports whether the append is known to be stored.
func (p *Pending) confirmed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// appendUntilDecided repeats an append until its outcome is known or ctx ends.
func (p *Pending) appendUntilDecided(ctx context.Context, report func(error)) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRefusedPause, maxRefusedPause
	unanswered := false
	timeout := p.writer.firstAttemptTimeout()
	for {
		err := p.tryAppend(ctx, timeout)
		if err == nil || p.confirmed() {
			return nil
		}
		wait := time.Duration(0)
		switch kind := KindOf(err); {
		case kind == KindSequence && p.sequence > 0:
			// The previous append has not reached the log yet, so this one
			// had no effect.
			wait = outOfOrderPause
		case kind == KindFenced && unanswered:
			// An earlier attempt that was not answered may have been stored
			// before the fence.
			return &Error{Kind: KindUnanswered, Op: "append", Detail: "fenced, but an earlier attempt that was not answered may have been stored"}
		case kind == KindUnanswered:
			unanswered = true
			timeout = min(2*timeout, maxAttemptTimeout)
		case kind == KindRefused:
			wait = pause.NextBackOff()
		default:
			return err
		}
		if report != nil && wait != outOfOrderPause {
			report(err)
		}
		if p.pause(ctx, wait) {
			continue
		}
		if p.confirmed() {
			return nil
		}
		if unanswered {
			return &Error{Kind: KindUnanswered, Op: "append", Detail: "gave up: " + err.Error()}
		}
		return err
	}
}

// pause waits before the next attempt. It returns false if there should be none
// because ctx has ended or the append is confirmed.
func (p *Pending) pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-p.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// firstAttemptTimeout returns how long the first attempt of an append waits for its
// answer.
func (w *Writer) firstAttemptTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(minAttemptTimeout, attemptTimeoutFactor*w.typicalLatency), maxAttemptTimeout)
}

// tryAppend makes one attempt, which ends after timeout or as soon as a later append
// confirms this one.
func (p *Pending) tryAppend(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	_, err := p.writer.log.Append(ctx, p.append)
	if err != nil {
		var e *Error
		if errors.As(err, &e) && e.Kind == KindSequence && e.Number > p.sequence && p.sequence > 0 {
			// The log expects a later append, so this one is stored.
			return nil
		}
		return err
	}
	p.writer.recordLatency(time.Since(began))
	return nil
}

// TypicalLatency returns a moving average of how long an append takes, or 0 before
// the first answer.
func (w *Writer) TypicalLatency() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.typicalLatency
}

// recordLatency adds the latency of an answered append to the moving average.
func (w *Writer) recordLatency(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.typicalLatency += time.Duration(latencyWeight * float64(took-w.typicalLatency))
}
