package report

import "github.com/bluebellstile/bluebellstile/internal/problem"

// Cause says what spent the error budget.
type Cause uint8

// Causes. Their values are recorded in the log and never reused.
const (
	// CauseQueueing is waiting behind other work.
	CauseQueueing Cause = iota
	// CauseLimit is waiting at the team's upper limit.
	CauseLimit
	// CauseNoCapacity is refusal because too much waits already.
	CauseNoCapacity
	// CauseFailover is waiting for, or loss through, a change of the zone's holder
	// or the loss of an endpoint.
	CauseFailover
	// CauseStore is the platform's log being down or in doubt.
	CauseStore
	// causeCount is the number of causes.
	causeCount
)

// causeNames are the names of causes in reports.
var causeNames = [causeCount]string{"queueing", "limit", "no capacity", "failover", "store"}

// String returns the name of the cause.
func (c Cause) String() string {
	if c >= causeCount {
		return "unknown"
	}
	return causeNames[c]
}

// waitCauses maps the holder's reasons for waiting; others are queueing.
var waitCauses = map[string]Cause{"limit": CauseLimit, "failover": CauseFailover, "no capacity": CauseNoCapacity}

// blamed maps the codes of answers for which the system is responsible. Other
// codes are the caller's, the operator's or the task's own doing and spend no
// budget.
var blamed = map[problem.Code]Cause{
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
