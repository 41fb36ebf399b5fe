package matrix

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
	"github.com/bluebellstile/bluebellstile/operator"
)

const (
	// stepTimeout bounds the time to reach a step.
	stepTimeout = 8 * time.Second
	// longTaskDuration is longer than it takes to inject a fault, but shorter
	// than the lease.
	longTaskDuration = 2 * time.Second
	// stallDuration is how long messages are stalled, so that requests come no
	// further than the step. reachReserved waits as long for the reservation.
	stallDuration = 300 * time.Millisecond
)

// reachFunc brings a cell to a step. The function that it returns ends what the
// step has begun and is called after the fault has been healed.
type reachFunc func(tc *testCell) (cleanup func() error, err error)

// reachFuncs holds the function that reaches each step.
var reachFuncs = map[Step]reachFunc{
	Admitted:     reachAdmitted,
	Queued:       reachQueued,
	Reserved:     reachReserved,
	Sent:         reachSent,
	Started:      reachStarted,
	Answering:    reachAnswering,
	Acknowledged: reachAcknowledged,
	Draining:     reachDraining,
	HandingOver:  reachHandingOver,
	Transferring: reachTransferring,
	Publishing:   reachPublishing,
}

// noop is the heal or cleanup function of faults and steps that need none.
func noop() error { return nil }

// reachAdmitted stalls the data that the entries of zone A send to other daemons
// and to endpoints, so that requests come no further than their entry.
func reachAdmitted(tc *testCell) (func() error, error) {
	match := func(l harness.Link) bool { return tc.Zone(l.From) == zoneA && l.To != harness.LogName }
	return sendIntoStalledLinks(tc, match)
}

// reachSent stalls the data that daemons send to the endpoints of zone A.
func reachSent(tc *testCell) (func() error, error) {
	return sendIntoStalledLinks(tc, tc.ToEndpoints(zoneA))
}

// sendIntoStalledLinks stalls the matching links, sends requests through them and
// ends the stall after stallDuration.
func sendIntoStalledLinks(tc *testCell, match func(harness.Link) bool) (func() error, error) {
	tc.SetLinkFaults(match, testrelay.Fault{StallToTarget: true})
	for i := range 4 {
		tc.startSleepRequest(tc.ink, queueLabel, tc.Entries(zoneA)[i%2:], 50*time.Millisecond, false)
	}
	harness.Sleep(tc.ctx, stallDuration)
	tc.SetLinkFaults(match, testrelay.Fault{})
	return noop, nil
}

// reachQueued sends more requests than the upper limit of team ink allows, so that
// some of them are queued in zone A.
func reachQueued(tc *testCell) (func() error, error) {
	for range 2 * limitInk {
		tc.startSleepRequest(tc.ink, queueLabel, tc.Entries(zoneA), longTaskDuration, false)
	}
	return noop, tc.awaitLongTasks(limitInk / 2)
}

// reachStarted starts long tasks and waits until some of them run.
func reachStarted(tc *testCell) (func() error, error) {
	for i := range 4 {
		tc.startSleepRequest(tc.ink, queueLabel, tc.Entries(zoneA), longTaskDuration, false)
		tc.startSleepRequest(tc.linen, queueMatch, tc.Entries(zoneA)[i%2:], longTaskDuration, true)
	}
	return noop, tc.awaitLongTasks(3)
}

// awaitLongTasks waits until n tasks that sleep for longTaskDuration have started.
func (tc *testCell) awaitLongTasks(n int) error {
	sum := history.Checksum(sleepInput(longTaskDuration))
	return tc.awaitStarted(n, func(e history.Event) bool { return e.InputSum == sum })
}

// awaitStarted waits until n tasks have started for which match returns true.
func (tc *testCell) awaitStarted(n int, match func(history.Event) bool) error {
	started := func(e history.Event) bool { return e.Kind == history.TaskStarted && match(e) }
	if !tc.AwaitEvents(harness.WithTimeout(tc.ctx, stepTimeout), n, started) {
		return errors.Errorf("fewer than %d tasks started in %s", n, stepTimeout)
	}
	return nil
}

// reachReserved occupies most of each worker, so that a gang that needs all of the
// rest at the same time has to reserve it.
func reachReserved(tc *testCell) (func() error, error) {
	blocker := harness.Job{Command: "sleep", Idempotent: true, Size: harness.JobSize{MilliCores: 2500, MemoryMB: 64}}
	blocker.Inputs = [][]byte{sleepInput(longTaskDuration)}
	for range tc.Options.Zones {
		tc.stepWork.Go(func() { tc.submitJob(tc.ink, queueCost, blocker) })
	}
	if err := tc.awaitLongTasks(1); err != nil {
		return nil, err
	}
	tc.stepWork.Go(func() { tc.submitJob(tc.linen, queueCost, gangJob(2, 100*time.Millisecond, 1500)) })
	harness.Sleep(tc.ctx, stallDuration)
	return noop, nil
}

// reachAnswering makes the service runner of zone A deliver long answers in parts
// that arrive out of order, twice and every other one late, and waits until one
// such task has ended.
func reachAnswering(tc *testCell) (func() error, error) {
	switches := map[string][2]any{
		"part_bytes": {16, 65536}, "late_parts": {"1s", "0s"}, "shuffle_parts": {true, false}, "duplicate_parts": {true, false},
	}
	runner := zoneA + "-r1"
	for name, onOff := range switches {
		if err := tc.SetEndpointFault(runner, name, onOff[0]); err != nil {
			return nil, err
		}
	}
	input := make([]byte, 1000)
	for i := range input {
		input[i] = byte('a' + i%23)
	}
	for range 4 {
		tc.stepWork.Go(func() { tc.sendEcho(tc.ink, queueLabel, input, false) })
	}
	sum := history.Checksum(input)
	ended := func(e history.Event) bool { return e.Kind == history.TaskEnded && e.OutputSum == sum }
	if !tc.AwaitEvents(harness.WithTimeout(tc.ctx, stepTimeout), 1, ended) {
		return nil, errors.New("no long answer began")
	}
	return func() error {
		for name, onOff := range switches {
			if err := tc.SetEndpointFault(runner, name, onOff[1]); err != nil && tc.Endpoints[runner].Alive() {
				return err
			}
		}
		return nil
	}, nil
}

// reachAcknowledged returns right after a burst of requests has been answered.
func reachAcknowledged(tc *testCell) (func() error, error) {
	for i := range 8 {
		input := []byte{byte('a' + i)}
		if a := tc.sendEcho(tc.ink, queueLabel, input, false); a.Verdict != history.VerdictDone {
			return nil, errors.Errorf("request not answered: %s %s", a.Verdict, a.Code)
		}
	}
	return noop, nil
}

// reachDraining gracefully stops a service runner, and a daemon of zone B that is
// not the holder, while tasks run.
func reachDraining(tc *testCell) (func() error, error) {
	if _, err := reachStarted(tc); err != nil {
		return nil, err
	}
	holder, err := tc.currentHolder(zoneB)
	if err != nil {
		return nil, err
	}
	restartRunner := tc.StopEndpoint(zoneA + "-r1")
	restartDaemon := tc.StopDaemon(tc.otherDaemon(zoneB, holder))
	return func() error {
		if err := restartRunner(); err != nil {
			return err
		}
		return restartDaemon()
	}, nil
}

// reachHandingOver gracefully stops the holder of zone A while tasks run.
func reachHandingOver(tc *testCell) (func() error, error) {
	if _, err := reachStarted(tc); err != nil {
		return nil, err
	}
	holder, err := tc.currentHolder(zoneA)
	if err != nil {
		return nil, err
	}
	return tc.StopDaemon(holder), nil
}

// reachTransferring requests the whole upper limit of team ink in zone A, which is
// more than the zone's even share, so that allotment has to be transferred. A
// zone's allotment is the part of the limit that it may use.
func reachTransferring(tc *testCell) (func() error, error) {
	for range limitInk {
		tc.startSleepRequest(tc.ink, queueLabel, tc.Entries(zoneA), longTaskDuration, false)
	}
	return noop, tc.awaitLongTasks(1)
}

// reachPublishing begins to publish a configuration that lowers a limit and
// withdraws a key.
func reachPublishing(tc *testCell) (func() error, error) {
	tc.publishInBackground(func(c *operator.Config) {
		lowerLinenLimit(c)
		withdrawOldKey(c)
	})
	return noop, nil
}

// lowerLinenLimit lowers the upper limit of team linen to loweredLimitLinen.
func lowerLinenLimit(c *operator.Config) {
	for i := range c.Teams {
		if c.Teams[i].Name == teamLinen {
			c.Teams[i].UpperLimit = loweredLimitLinen
		}
	}
}

// withdrawOldKey withdraws a key that one caller continues to use.
func withdrawOldKey(c *operator.Config) { _ = c.WithdrawKey(keyOld) }

// publishInBackground publishes a change in the background. If another operator
// publishes first, it applies the change to the new configuration and tries again
// until stepTimeout has passed.
func (tc *testCell) publishInBackground(change func(*operator.Config)) {
	ctx := harness.WithTimeout(tc.ctx, stepTimeout)
	tc.stepWork.Go(func() {
		for ctx.Err() == nil {
			_, err := tc.Publish(tc.ctx, "operator", change)
			if !errors.Is(err, harness.ErrConflict) {
				return
			}
		}
	})
}
