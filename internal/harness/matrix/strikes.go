package matrix

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
	"github.com/bluebellstile/bluebellstile/operator"
)

// faultDuration is the time between injecting and healing a fault. It exceeds the
// lease of the cells and the time within which a withdrawn key must stop working.
const faultDuration = 5500 * time.Millisecond

// injectFunc injects a fault and returns a function that heals it.
type injectFunc func(tc *testCell) (heal func() error, err error)

// injectFuncs holds the function that injects each fault.
var injectFuncs = map[Fault]injectFunc{
	None:              func(*testCell) (func() error, error) { return noop, nil },
	Kill:              injectKill,
	PauseFault:        injectPause,
	CutZones:          injectZoneCut,
	CutPlatform:       injectPlatformCut,
	CutOneWay:         injectOneWayCut,
	LogDown:           func(tc *testCell) (func() error, error) { return tc.InjectLogFault("down", true, false) },
	LogSlow:           func(tc *testCell) (func() error, error) { return tc.InjectLogFault("latency", "800ms", "0s") },
	AnswerLost:        injectAnswerLoss,
	ListWrong:         injectWrongList,
	WorkerDeath:       injectWorkerDeath,
	WorkerPause:       injectWorkerPause,
	WorkerFails:       injectTaskFailures,
	OperatorsRacing:   injectRacingOperators,
	CancellationWave:  injectCancellationWave,
	AllTogether:       injectAllTogether,
	TwiceInSuccession: injectTwoKills,
}

// targetDaemon returns the daemon that gets the fault: the holder of zone A, or if
// that is stopping, another daemon of the zone, which takes over.
func (tc *testCell) targetDaemon() (string, error) {
	h, err := tc.currentHolder(zoneA)
	if err != nil {
		return "", err
	}
	if tc.Daemons[h].Stopping() {
		return tc.otherDaemon(zoneA, h), nil
	}
	return h, nil
}

func injectKill(tc *testCell) (func() error, error) {
	target, err := tc.targetDaemon()
	if err != nil {
		return nil, err
	}
	return tc.KillDaemon(target), nil
}

func injectPause(tc *testCell) (func() error, error) {
	target, err := tc.targetDaemon()
	if err != nil {
		return nil, err
	}
	return tc.PauseDaemon(target), nil
}

func injectZoneCut(tc *testCell) (func() error, error) {
	return tc.InjectLinkFault(string(CutZones), tc.BetweenZones(zoneA, zoneB), testrelay.Blackhole())
}

func injectPlatformCut(tc *testCell) (func() error, error) {
	return tc.InjectLinkFault(string(CutPlatform), tc.ToLog(zoneA), testrelay.Blackhole())
}

// injectOneWayCut stalls the data that zone A sends on connections it opens to
// zone B, and the answers of the endpoints of zone A. Requests to these endpoints
// still arrive.
func injectOneWayCut(tc *testCell) (func() error, error) {
	healToZone, err := tc.InjectLinkFault(string(CutOneWay), tc.FromZoneTo(zoneA, zoneB), testrelay.Fault{StallToTarget: true})
	if err != nil {
		return nil, err
	}
	healFromEndpoints, err := tc.InjectLinkFault(string(CutOneWay)+" to endpoints", tc.ToEndpoints(zoneA), testrelay.Fault{StallFromTarget: true})
	return healAll(healToZone, healFromEndpoints), err
}

// healAll returns a function that calls all functions and returns the first error.
func healAll(heals ...func() error) func() error {
	return func() error {
		var first error
		for _, heal := range heals {
			if err := heal(); err != nil && first == nil {
				first = err
			}
		}
		return first
	}
}

// injectAnswerLoss drops answers of the log and of the endpoints of zone A after
// the requests have taken effect.
func injectAnswerLoss(tc *testCell) (func() error, error) {
	healLog, err := tc.InjectLogFault("lose_answers", 4, 0)
	if err != nil {
		return nil, err
	}
	healLinks, err := tc.InjectLinkFault(string(AnswerLost), tc.ToEndpoints(zoneA), testrelay.Fault{DropFromTarget: true})
	return healAll(healLog, healLinks), err
}

// injectWrongList hides the target daemon and the service runner of zone A from
// the lists of instances and makes the rest of the lists stale.
func injectWrongList(tc *testCell) (func() error, error) {
	target, err := tc.targetDaemon()
	if err != nil {
		return nil, err
	}
	healHidden, err := tc.InjectListFault("hide", []string{target, zoneA + "-r1"}, []string{})
	if err != nil {
		return nil, err
	}
	healLag, err := tc.InjectListFault("lag", "20s", tc.Options.ListLag.String())
	if err != nil {
		return nil, err
	}
	return healAll(healHidden, healLag), nil
}

// injectWorkerDeath kills the worker of zone A and, if it is running, the service
// runner.
func injectWorkerDeath(tc *testCell) (func() error, error) {
	restartWorker := tc.KillEndpoint(zoneA + "-w1")
	if !tc.Endpoints[zoneA+"-r1"].Alive() {
		return restartWorker, nil
	}
	return healAll(restartWorker, tc.KillEndpoint(zoneA+"-r1")), nil
}

// injectWorkerPause suspends the worker of zone A and, if it is running, the
// service runner for longer than their lease.
func injectWorkerPause(tc *testCell) (func() error, error) {
	resumeWorker := tc.PauseEndpoint(zoneA + "-w1")
	if !tc.Endpoints[zoneA+"-r1"].Alive() {
		return resumeWorker, nil
	}
	return healAll(resumeWorker, tc.PauseEndpoint(zoneA+"-r1")), nil
}

// injectTaskFailures makes the worker of zone A fail every task.
func injectTaskFailures(tc *testCell) (func() error, error) {
	return tc.InjectEndpointFault(zoneA+"-w1", "fail_tasks", true, false)
}

// injectRacingOperators makes four operators publish conflicting limits at the
// same time.
func injectRacingOperators(tc *testCell) (func() error, error) {
	var operators sync.WaitGroup
	for i := range 4 {
		operators.Go(func() {
			for round := range 3 {
				_, _ = tc.Publish(tc.ctx, fmt.Sprintf("racer-%d", i), func(c *operator.Config) {
					for j := range c.Teams {
						if c.Teams[j].Name == teamInk {
							c.Teams[j].UpperLimit = limitInk + int64(i+round)
						}
					}
				})
			}
		})
	}
	return func() error {
		operators.Wait()
		return nil
	}, nil
}

// waveJobs is the number of jobs in a cancellation wave.
const waveJobs = 200

// injectCancellationWave submits waveJobs jobs concurrently and cancels each as
// soon as it is accepted.
func injectCancellationWave(tc *testCell) (func() error, error) {
	var wave sync.WaitGroup
	for i := range waveJobs {
		wave.Go(func() {
			id := tc.submitJob(tc.linen, queueLots, echoJob(fmt.Sprintf("wave %d", i), 2))
			if id != "" {
				_ = tc.linen.Cancel(harness.WithTimeout(tc.ctx, submitTimeout), tc.rotatedEntries()[0], id)
			}
		})
	}
	return func() error {
		wave.Wait()
		return nil
	}, nil
}

// injectAllTogether kills the holder of zone A and a worker while the log is slow
// and zone B is cut from the platform.
func injectAllTogether(tc *testCell) (func() error, error) {
	healKill, err := injectKill(tc)
	if err != nil {
		return nil, err
	}
	healSlowLog, err := tc.InjectLogFault("latency", "500ms", "0s")
	if err != nil {
		return nil, err
	}
	healCut, err := tc.InjectLinkFault(string(CutPlatform), tc.ToLog(zoneB), testrelay.Blackhole())
	if err != nil {
		return nil, err
	}
	return healAll(healCut, healSlowLog, tc.KillEndpoint(zoneA+"-w1"), healKill), nil
}

// injectTwoKills kills the holder of zone A and, after a takeover, its successor.
func injectTwoKills(tc *testCell) (func() error, error) {
	first, err := tc.targetDaemon()
	if err != nil {
		return nil, err
	}
	healFirst := tc.KillDaemon(first)
	harness.Eventually(harness.WithTimeout(tc.ctx, stepTimeout), func() bool {
		current, err := tc.currentHolder(zoneA)
		return err == nil && current != first
	})
	if err := healFirst(); err != nil {
		return nil, err
	}
	return injectKill(tc)
}
