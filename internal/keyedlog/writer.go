package keyedlog

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
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
)

// Writer appends to one partition under one epoch. It is used by one
// goroutine at a time.
type Writer struct {
	log       Log
	partition Partition
	producer  Producer
	// usual is how long an answer takes.
	usual time.Duration
}

// NewWriter returns a writer whose first append has sequence number 1.
func NewWriter(log Log, partition Partition, name string, epoch int64) *Writer {
	return &Writer{log: log, partition: partition, producer: Producer{Name: name, Epoch: epoch, Sequence: 1}}
}

// Fence raises the partition's epoch to the writer's without a record: no
// append of an earlier epoch succeeds after it has returned nil.
// report, if not nil, is told of each failed attempt.
func (w *Writer) Fence(ctx context.Context, report func(error)) error {
	p := w.producer
	p.Sequence = 0
	return w.attempt(ctx, Append{Partition: w.partition, Producer: &p}, report)
}

// Append appends records and returns nil once they stand in the log. It
// repeats the append until its fate is known. An error of KindFenced or
// KindRefused means that the records are not in the log and never will be;
// with any other, also that of an ended ctx, they may be. report, if not nil,
// is told of each failed attempt.
func (w *Writer) Append(ctx context.Context, records []Record, report func(error)) error {
	p := w.producer
	err := w.attempt(ctx, Append{Partition: w.partition, Records: records, Producer: &p}, report)
	if err == nil {
		w.producer.Sequence++
	}
	return err
}

// attempt makes an append until its fate is known or ctx ends.
func (w *Writer) attempt(ctx context.Context, a Append, report func(error)) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMax
	unanswered := false
	patience := min(max(answerMin, answerFactor*w.usual), answerMax)
	for {
		err := w.once(ctx, a, patience)
		kind := KindOf(err)
		switch {
		case err == nil:
			return nil
		case kind == KindFenced && unanswered:
			// An attempt without an answer may have come before the fence.
			return &Error{Kind: KindUnanswered, Op: "append", Detail: "fenced after an attempt without an answer"}
		case kind != KindRefused && kind != KindUnanswered:
			return err
		}
		if report != nil {
			report(err)
		}
		wait := pause.NextBackOff()
		if kind == KindUnanswered {
			unanswered = true
			patience = min(2*patience, answerMax)
			wait = 0
		}
		if !sleep(ctx, wait) {
			if unanswered {
				return &Error{Kind: KindUnanswered, Op: "append", Detail: "gave up: " + err.Error()}
			}
			return err
		}
	}
}

// once makes one attempt that waits for its answer for at most patience.
func (w *Writer) once(ctx context.Context, a Append, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	began := time.Now()
	_, err := w.log.Append(ctx, a)
	if err == nil {
		w.usual += time.Duration(usualWeight * float64(time.Since(began)-w.usual))
	}
	return err
}

// sleep waits; it reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
