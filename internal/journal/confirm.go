package journal

import (
	"context"
	"time"
)

// confirmWait bounds the wait for the tail to apply what a confirmation read.
const confirmWait = 500 * time.Millisecond

// Confirm proves that the applied state was current at some moment after the
// instant, by a read of the log that does not wait. Callers at one time share
// the reads.
func (j *Journal) Confirm(ctx context.Context, instant time.Time) error {
	j.confirming.Lock()
	defer j.confirming.Unlock()
	if age, _, ok := j.Fresh(); ok && age <= time.Since(instant) {
		return nil
	}
	asOf := time.Now()
	page, err := j.log.Read(ctx, max(j.state.Applied()+1, 1), 1, 0)
	if err != nil {
		return err
	}
	if err := j.Await(ctx, page.End-1, confirmWait); err != nil {
		return err
	}
	j.Prove(asOf, page.End)
	return nil
}
