package node

import (
	"context"

	"github.com/bluebellstile/bluebellstile/internal/fleetpeer"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// Submit implements fleetpeer.Holder.
func (notHolder) Submit(context.Context, *workload.Job, int64) (*problem.Problem, error) {
	return nil, fleetpeer.ErrNotHolder
}

// Status implements fleetpeer.Holder.
func (notHolder) Status(context.Context, workload.ID, string) (workload.State, error) {
	return "", fleetpeer.ErrNotHolder
}

// Cancel implements fleetpeer.Holder.
func (notHolder) Cancel(context.Context, workload.ID, string) (bool, error) {
	return false, fleetpeer.ErrNotHolder
}

// Waiting implements fleetpeer.Holder.
func (notHolder) Waiting(context.Context, string) (int, error) { return 0, fleetpeer.ErrNotHolder }
