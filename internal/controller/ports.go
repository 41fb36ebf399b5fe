package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// RunningRow is a run that an endpoint reports as running.
type RunningRow struct {
	Key        fleet.Key
	Checkpoint string
	// Progress is the fraction of the work done, from 0 to 1; negative if
	// unknown.
	Progress float64
	// Load is the tail latency in milliseconds for a serving task, and the
	// processor use in thousandths of a core for any other task.
	Load int64
}

// EndedRow is a run that an endpoint reports as ended.
type EndedRow struct {
	// Number counts the ends of an incarnation from 1.
	Number     int64
	Key        fleet.Key
	End        workload.End
	Checkpoint string
}

// EndpointClient sends orders to endpoints. Every order carries the epoch as a
// fencing token.
type EndpointClient interface {
	Start(ctx context.Context, epoch int64, o *StartOrder) Outcome
	Stop(ctx context.Context, epoch int64, o *StopOrder) Outcome
	Pace(ctx context.Context, epoch int64, o *PaceOrder) Outcome
	Hold(ctx context.Context, epoch int64, o *HoldOrder) (Report, Outcome)
}

// EligibilityAnswer is the eligibility service's answer to a question.
type EligibilityAnswer struct {
	// Permits holds a token for each endpoint that may run the step, by
	// endpoint id.
	Permits map[string]string
	// Valid is how long the permits are valid.
	Valid time.Duration
}

// Eligibility asks the eligibility service which endpoints may run a step.
type Eligibility interface {
	Ask(ctx context.Context, o *AskOrder) (EligibilityAnswer, error)
}
