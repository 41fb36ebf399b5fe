package controller

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// RunningRow is a run that an endpoint says is running.
type RunningRow struct {
	Key        fleet.Key
	Checkpoint string
	// Progress is the share of the work done, 0 to 1; negative if unknown.
	Progress float64
	// Load is the tail latency in milliseconds of a task that serves, the
	// processor use in thousandths of a core of any other.
	Load int64
}

// EndedRow is a run that an endpoint says has ended.
type EndedRow struct {
	// Number counts the ends of an incarnation from 1.
	Number     int64
	Key        fleet.Key
	End        workload.End
	Checkpoint string
}

// EndpointClient sends orders to endpoints. Every order carries the epoch.
type EndpointClient interface {
	Start(ctx context.Context, epoch int64, o *StartOrder) Outcome
	Stop(ctx context.Context, epoch int64, o *StopOrder) Outcome
	Pace(ctx context.Context, epoch int64, o *PaceOrder) Outcome
	Hold(ctx context.Context, epoch int64, o *HoldOrder) (Report, Outcome)
}

// EligibilityAnswer is what the service that knows a queue's endpoints said.
type EligibilityAnswer struct {
	// Permits gives a token for each endpoint that may run the step.
	Permits map[string]string
	// Valid is how long the permits are good for.
	Valid time.Duration
}

// Eligibility asks which endpoints may run a step.
type Eligibility interface {
	Ask(ctx context.Context, o *AskOrder) (EligibilityAnswer, error)
}
