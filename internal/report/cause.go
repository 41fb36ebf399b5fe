package report

import "github.com/bluebellstile/bluebellstile/internal/problem"

// Cause is the reason for a bad event, which spends the error budget.
type Cause uint8

// Causes. Their values are recorded in the log and must not be reused.
const (
	// CauseQueueing is waiting behind other work.
	CauseQueueing Cause = iota
	// CauseLimit is waiting at the team's upper limit.
	CauseLimit
	// CauseNoCapacity is refusal because too much work is waiting already.
	CauseNoCapacity
	// CauseFailover is a wait or a loss due to a change of the zone's holder or
	// the loss of an endpoint.
	CauseFailover
	// CauseStore is an unavailable log of the platform or an append whose
	// outcome is unknown.
	CauseStore
	// causeCount is the number of causes.
	causeCount
)

// causeNames holds the names of causes in reports.
var causeNames = [causeCount]string{"queueing", "limit", "no capacity", "failover", "store"}

// String returns the name of the cause.
func (c Cause) String() string {
	if c >= causeCount {
		return "unknown"
	}
	return causeNames[c]
}

// causeByWaitReason maps the holder's reasons for waiting to causes. Any other
// reason counts as CauseQueueing.
var causeByWaitReason = map[string]Cause{"limit": CauseLimit, "failover": CauseFailover, "no capacity": CauseNoCapacity}

// systemFaults maps the problem codes for which the system is responsible to
// causes. Other codes are due to the caller, the operator or the task itself
// and spend no budget.
var systemFaults = map[problem.Code]Cause{
	problem.DeadlineQueued:    CauseQueueing,
	problem.QueueFull:         CauseNoCapacity,
	problem.NoHolder:          CauseFailover,
	problem.Moved:             CauseFailover,
	problem.OutcomeLost:       CauseFailover,
	problem.ShuttingDown:      CauseFailover,
	problem.Internal:          CauseFailover,
	problem.LogUnavailable:    CauseStore,
	problem.LogOutcomeUnknown: CauseStore,
}
