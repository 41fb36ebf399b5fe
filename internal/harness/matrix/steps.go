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
	// stepTimeout bounds how long a step may take to come about.
	stepTimeout = 8 * time.Second
	// longTask outlasts the strike, but not the lease.
	longTask = 2 * time.Second
	// heldBack is how long messages are held to keep a request at a step.
	heldBack = 300 * time.Millisecond
)

// step brings a step about. The function that it returns ends what the step
// has begun and is called after the fault has healed.
type step func(w *world) (release func() error, err error)

// steps bring about each step.
var steps = map[Step]step{
	Admitted:     stepAdmitted,
	Queued:       stepQueued,
	Reserved:     stepReserved,
	Sent:         stepSent,
	Started:      stepStarted,
	Answering:    stepAnswering,
	Acknowledged: stepAcknowledged,
	Draining:     stepDraining,
	HandingOver:  stepHandingOver,
	Transferring: stepTransferring,
	Publishing:   stepPublishing,
}

func nothing() error { return nil }

// stepAdmitted holds back what the entries of zone A send to other daemons
// and to endpoints, so that requests have come no further than their entry.
func stepAdmitted(w *world) (func() error, error) {
	match := func(l harness.Link) bool { return w.Zone(l.From) == zoneA && l.To != harness.LogName }
	return stepHeld(w, match)
}

// stepSent holds back what daemons send to the endpoints of zone A.
func stepSent(w *world) (func() error, error) {
	return stepHeld(w, w.ToEndpoints(zoneA))
}

// stepHeld holds links back, sends requests into them and lets go.
func stepHeld(w *world, match func(harness.Link) bool) (func() error, error) {
	w.SetLinks(match, testrelay.Fault{StallToTarget: true})
	for i := range 4 {
		w.sleeper(w.ink, queueLabel, w.Entries(zoneA)[i%2:], 50*time.Millisecond, false)
	}
	harness.Pause(w.ctx, heldBack)
	w.SetLinks(match, testrelay.Fault{})
	return nothing, nil
}

// stepQueued fills team ink's limit in zone A, so that more requests wait.
func stepQueued(w *world) (func() error, error) {
	for range 2 * limitInk {
		w.sleeper(w.ink, queueLabel, w.Entries(zoneA), longTask, false)
	}
	return nothing, w.awaitSleepers(limitInk / 2)
}

// stepStarted lets long tasks run.
func stepStarted(w *world) (func() error, error) {
	for i := range 4 {
		w.sleeper(w.ink, queueLabel, w.Entries(zoneA), longTask, false)
		w.sleeper(w.lin, queueMatch, w.Entries(zoneA)[i%2:], longTask, true)
	}
	return nothing, w.awaitSleepers(3)
}

// awaitSleepers waits until n tasks run that sleep for longTask.
func (w *world) awaitSleepers(n int) error {
	sum := history.Sum(sleepInput(longTask))
	return w.awaitStarted(n, func(e history.Event) bool { return e.InputSum == sum })
}

func (w *world) awaitStarted(n int, match func(history.Event) bool) error {
	started := func(e history.Event) bool { return e.Kind == history.TaskStarted && match(e) }
	if !w.AwaitEvents(harness.Within(w.ctx, stepTimeout), n, started) {
		return errors.Errorf("fewer than %d tasks started in %s", n, stepTimeout)
	}
	return nil
}

// stepReserved occupies most of each worker, so that a job that needs a whole
// one at once has to reserve it.
func stepReserved(w *world) (func() error, error) {
	blocker := harness.Job{Command: "sleep", Idempotent: true, Size: harness.JobSize{MilliCores: 2500, MemoryMB: 64}}
	blocker.Inputs = [][]byte{sleepInput(longTask)}
	for range w.Options.Zones {
		w.probes.Go(func() { w.job(w.ink, queueCost, blocker) })
	}
	if err := w.awaitSleepers(1); err != nil {
		return nil, err
	}
	w.probes.Go(func() { w.job(w.lin, queueCost, gangJob(2, 100*time.Millisecond, 1500)) })
	harness.Pause(w.ctx, heldBack)
	return nothing, nil
}

// stepAnswering makes the runners of zone A deliver long answers in parts,
// out of order, twice and every other one late.
func stepAnswering(w *world) (func() error, error) {
	switches := map[string][2]any{
		"part_bytes": {16, 65536}, "late_parts": {"1s", "0s"}, "shuffle_parts": {true, false}, "duplicate_parts": {true, false},
	}
	runner := zoneA + "-r1"
	for name, v := range switches {
		if err := w.EndpointFault(runner, name, v[0]); err != nil {
			return nil, err
		}
	}
	input := make([]byte, 1000)
	for i := range input {
		input[i] = byte('a' + i%23)
	}
	for range 4 {
		w.probes.Go(func() { w.request(w.ink, queueLabel, input, false) })
	}
	sum := history.Sum(input)
	ended := func(e history.Event) bool { return e.Kind == history.TaskEnded && e.OutputSum == sum }
	if !w.AwaitEvents(harness.Within(w.ctx, stepTimeout), 1, ended) {
		return nil, errors.New("no long answer began")
	}
	return func() error {
		for name, v := range switches {
			if err := w.EndpointFault(runner, name, v[1]); err != nil && w.Endpoints[runner].Alive() {
				return err
			}
		}
		return nil
	}, nil
}

// stepAcknowledged strikes right after a burst of answers has arrived.
func stepAcknowledged(w *world) (func() error, error) {
	for i := range 8 {
		input := []byte{byte('a' + i)}
		if a := w.request(w.ink, queueLabel, input, false); a.Verdict != history.VerdictDone {
			return nil, errors.Errorf("request not answered: %s %s", a.Verdict, a.Code)
		}
	}
	return nothing, nil
}

// stepDraining lets a runner leave and a daemon that holds no zone stop while
// tasks run.
func stepDraining(w *world) (func() error, error) {
	if _, err := stepStarted(w); err != nil {
		return nil, err
	}
	holder, err := w.holder(zoneB)
	if err != nil {
		return nil, err
	}
	restartRunner := w.StopEndpoint(zoneA + "-r1")
	restartDaemon := w.StopDaemon(w.other(zoneB, holder))
	return func() error {
		if err := restartRunner(); err != nil {
			return err
		}
		return restartDaemon()
	}, nil
}

// stepHandingOver stops the holder of zone A as planned while tasks run.
func stepHandingOver(w *world) (func() error, error) {
	if _, err := stepStarted(w); err != nil {
		return nil, err
	}
	holder, err := w.holder(zoneA)
	if err != nil {
		return nil, err
	}
	return w.StopDaemon(holder), nil
}

// stepTransferring asks for more of team ink's limit in zone A than an even
// part of it.
func stepTransferring(w *world) (func() error, error) {
	for range limitInk {
		w.sleeper(w.ink, queueLabel, w.Entries(zoneA), longTask, false)
	}
	return nothing, w.awaitSleepers(1)
}

// stepPublishing lowers a limit and withdraws a key while the fault strikes.
func stepPublishing(w *world) (func() error, error) {
	w.publish(func(c *operator.Config) {
		lowerLinen(c)
		withdrawOld(c)
	})
	return nothing, nil
}

func lowerLinen(c *operator.Config) {
	for i := range c.Teams {
		if c.Teams[i].Name == teamLinen {
			c.Teams[i].UpperLimit = loweredLinen
		}
	}
}

// withdrawOld withdraws the key with which one caller goes on.
func withdrawOld(c *operator.Config) { _ = c.WithdrawKey(keyOld) }

// publish publishes a change in the background and rebases it when another
// operator comes first.
func (w *world) publish(change func(*operator.Config)) {
	ctx := harness.Within(w.ctx, stepTimeout)
	w.probes.Go(func() {
		for ctx.Err() == nil {
			_, err := w.Publish(w.ctx, "operator", change)
			if !errors.Is(err, harness.ErrRace) {
				return
			}
		}
	})
}
