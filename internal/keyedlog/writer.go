package keyedlog

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// retryFirst and retryMax bound the pauses between attempts of a refused
	// append. Refused calls are charged and count against the log's rate.
	retryFirst = 50 * time.Millisecond
	retryMax   = 800 * time.Millisecond
	// answerMin and answerMax bound how long an attempt waits for its answer.
	// A repetition is harmless, and each one waits twice as long, so that a
	// slow log is not taken for a deaf one.
	answerMin = 80 * time.Millisecond
	answerMax = 2 * time.Second
	// answerFactor is how many times the usual time of an answer the first
	// attempt waits, and usualWeight is the weight of a new answer in it.
	answerFactor = 4
	usualWeight  = 0.2
	// overtaken is the pause before an append is repeated that has overtaken
	// the one before it.
	overtaken = 5 * time.Millisecond
)

// MaxInFlight bounds the appends of a writer that are under way at the same
// time: the log gives the first answer again to a repetition of its last five.
const MaxInFlight = 4

// Writer appends to one partition under one epoch. Its appends take effect in
// the order in which they were begun, also if several are under way. It is
// safe for concurrent use.
type Writer struct {
	log       Log
	partition Partition
	name      string
	epoch     int64

	mu sync.Mutex
	// last is the sequence number of the last append that was begun.
	last int64
	// open are the appends under way, in order.
	open []*Pending
	// usual is how long an answer takes.
	usual time.Duration
	// begun is closed once the first append is known to stand in the log. The
	// log takes any sequence number as the first of an epoch, so that none of
	// the others may arrive before.
	begun chan struct{}
}

// Pending is an append that was begun.
type Pending struct {
	writer   *Writer
	append   Append
	sequence int64
	// done is closed once the records are known to stand in the log.
	done chan struct{}
}

// NewWriter returns a writer whose first append has sequence number 1.
func NewWriter(log Log, partition Partition, name string, epoch int64) *Writer {
	return &Writer{log: log, partition: partition, name: name, epoch: epoch, begun: make(chan struct{})}
}

// Fence raises the partition's epoch to the writer's without a record: no
// append of an earlier epoch succeeds after it has returned nil.
// report, if not nil, is told of each failed attempt.
func (w *Writer) Fence(ctx context.Context, report func(error)) error {
	p := &Pending{
		writer: w,
		append: Append{Partition: w.partition, Producer: &Producer{Name: w.name, Epoch: w.epoch}},
		done:   make(chan struct{}),
	}
	return p.attempt(ctx, report)
}

// Begin begins an append: its place among the writer's appends is fixed.
func (w *Writer) Begin(records []Record) *Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	p := &Pending{
		writer: w,
		append: Append{
			Partition: w.partition,
			Records:   records,
			Producer:  &Producer{Name: w.name, Epoch: w.epoch, Sequence: w.last},
		},
		sequence: w.last,
		done:     make(chan struct{}),
	}
	w.open = append(w.open, p)
	return p
}

// InFlight returns how many appends are under way.
func (w *Writer) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.open)
}

// Wait appends the records and returns nil once they stand in the log. It
// repeats the append until its fate is known. An error of KindFenced or
// KindRefused means that the records are not in the log and never will be;
// with any other, also that of an ended ctx, they may be. report, if not nil,
// is told of each failed attempt.
func (p *Pending) Wait(ctx context.Context, report func(error)) error {
	if err := p.turn(ctx); err != nil {
		return err
	}
	err := p.attempt(ctx, report)
	if err == nil {
		p.writer.confirm(p.sequence)
	}
	return err
}

// turn waits until the writer's first append stands in the log.
func (p *Pending) turn(ctx context.Context) error {
	if p.sequence == 1 {
		return nil
	}
	select {
	case <-p.writer.begun:
		return nil
	case <-ctx.Done():
		return &Error{Kind: KindRefused, Op: "append", Detail: "not sent, the first append is not done: " + ctx.Err().Error()}
	}
}

// confirm notes that an append stands in the log, and with it all before: the
// log takes them in sequence only.
func (w *Writer) confirm(sequence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.open) > 0 && w.open[0].sequence <= sequence {
		if w.open[0].sequence == 1 {
			close(w.begun)
		}
		close(w.open[0].done)
		w.open = w.open[1:]
	}
}

// confirmed reports whether the append is known to stand in the log.
func (p *Pending) confirmed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// attempt makes an append until its fate is known or ctx ends.
func (p *Pending) attempt(ctx context.Context, report func(error)) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMax
	unanswered := false
	patience := p.writer.patience()
	for {
		err := p.once(ctx, patience)
		if err == nil || p.confirmed() {
			return nil
		}
		wait := time.Duration(0)
		switch kind := KindOf(err); {
		case kind == KindSequence && p.sequence > 0:
			// The append before has not arrived yet; nothing was done.
			wait = overtaken
		case kind == KindFenced && unanswered:
			// An attempt without an answer may have come before the fence.
			return &Error{Kind: KindUnanswered, Op: "append", Detail: "fenced after an attempt without an answer"}
		case kind == KindUnanswered:
			unanswered = true
			patience = min(2*patience, answerMax)
		case kind == KindRefused:
			wait = pause.NextBackOff()
		default:
			return err
		}
		if report != nil && wait != overtaken {
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

// pause waits before the next attempt; it reports false if there should be
// none, as ctx has ended or the append is confirmed.
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

// patience is how long the first attempt of an append waits.
func (w *Writer) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(answerMin, answerFactor*w.usual), answerMax)
}

// once makes one attempt that waits for its answer for at most patience. It
// gives up when a later append shows that this one stands in the log.
func (p *Pending) once(ctx context.Context, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
			// The log expects a later one, so it has this one.
			return nil
		}
		return err
	}
	p.writer.answered(time.Since(began))
	return nil
}

// TypicalLatency returns how long an append usually takes.
func (w *Writer) TypicalLatency() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usual
}

// answered takes the time of an answer into the usual one.
func (w *Writer) answered(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usual += time.Duration(usualWeight * float64(took-w.usual))
}
