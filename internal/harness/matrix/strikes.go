package matrix

import (
	"fmt"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
	"github.com/bluebellstile/bluebellstile/operator"
)

// hold is how long a fault lasts. It outlasts the lease of the cells and the
// bound within which a withdrawn key must stop working.
const hold = 5500 * time.Millisecond

// strike brings a fault about and returns the function that heals it.
type strike func(w *world) (heal func() error, err error)

var strikes = map[Fault]strike{
	None:              func(*world) (func() error, error) { return nothing, nil },
	Kill:              strikeKill,
	PauseFault:        strikePause,
	CutZones:          strikeCutZones,
	CutPlatform:       strikeCutPlatform,
	CutOneWay:         strikeCutOneWay,
	LogDown:           func(w *world) (func() error, error) { return w.LogSwitch("down", true, false) },
	LogSlow:           func(w *world) (func() error, error) { return w.LogSwitch("latency", "800ms", "0s") },
	AnswerLost:        strikeAnswerLost,
	ListWrong:         strikeListWrong,
	WorkerDeath:       strikeWorkerDeath,
	WorkerPause:       strikeWorkerPause,
	WorkerFails:       strikeWorkerFails,
	OperatorsRacing:   strikeOperatorsRacing,
	CancellationWave:  strikeCancellationWave,
	AllTogether:       strikeAll,
	TwiceInSuccession: strikeTwice,
}

// victim is the holder of zone A, or its successor if that is stopping.
func (w *world) victim() (string, error) {
	h, err := w.holder(zoneA)
	if err != nil {
		return "", err
	}
	if w.Daemons[h].Stopping() {
		return w.other(zoneA, h), nil
	}
	return h, nil
}

func strikeKill(w *world) (func() error, error) {
	v, err := w.victim()
	if err != nil {
		return nil, err
	}
	return w.KillDaemon(v), nil
}

func strikePause(w *world) (func() error, error) {
	v, err := w.victim()
	if err != nil {
		return nil, err
	}
	return w.PauseDaemon(v), nil
}

func strikeCutZones(w *world) (func() error, error) {
	return w.CutLinks(string(CutZones), w.BetweenZones(zoneA, zoneB), testrelay.Blackhole())
}

func strikeCutPlatform(w *world) (func() error, error) {
	return w.CutLinks(string(CutPlatform), w.ToLog(zoneA), testrelay.Blackhole())
}

// strikeCutOneWay stops what zone A opens towards zone B, and what the holder
// of zone A sends to its endpoints arrives while the answers don't.
func strikeCutOneWay(w *world) (func() error, error) {
	first, err := w.CutLinks(string(CutOneWay), w.FromZoneTo(zoneA, zoneB), testrelay.Fault{StallToTarget: true})
	if err != nil {
		return nil, err
	}
	second, err := w.CutLinks(string(CutOneWay)+" to endpoints", w.ToEndpoints(zoneA), testrelay.Fault{StallFromTarget: true})
	return both(first, second), err
}

func both(heals ...func() error) func() error {
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

// strikeAnswerLost loses answers of the log and of the endpoints of zone A
// after their effect.
func strikeAnswerLost(w *world) (func() error, error) {
	healLog, err := w.LogSwitch("lose_answers", 4, 0)
	if err != nil {
		return nil, err
	}
	links, err := w.CutLinks(string(AnswerLost), w.ToEndpoints(zoneA), testrelay.Fault{DropFromTarget: true})
	return both(healLog, links), err
}

// strikeListWrong hides a live runner and a live daemon and keeps the rest of
// the list old.
func strikeListWrong(w *world) (func() error, error) {
	v, err := w.victim()
	if err != nil {
		return nil, err
	}
	heal, err := w.ListSwitch("hide", []string{v, zoneA + "-r1"}, []string{})
	if err != nil {
		return nil, err
	}
	lag, err := w.ListSwitch("lag", "20s", w.Options.ListLag.String())
	if err != nil {
		return nil, err
	}
	return both(heal, lag), nil
}

func strikeWorkerDeath(w *world) (func() error, error) {
	worker := w.FailEndpoint(zoneA + "-w1")
	if !w.Endpoints[zoneA+"-r1"].Alive() {
		return worker, nil
	}
	return both(worker, w.FailEndpoint(zoneA+"-r1")), nil
}

// strikeWorkerPause stops endpoints of zone A for longer than their lease.
func strikeWorkerPause(w *world) (func() error, error) {
	worker := w.PauseEndpoint(zoneA + "-w1")
	if !w.Endpoints[zoneA+"-r1"].Alive() {
		return worker, nil
	}
	return both(worker, w.PauseEndpoint(zoneA+"-r1")), nil
}

func strikeWorkerFails(w *world) (func() error, error) {
	return w.EndpointSwitch(zoneA+"-w1", "fail_tasks", true, false)
}

// strikeOperatorsRacing lets operators publish conflicting limits at once.
func strikeOperatorsRacing(w *world) (func() error, error) {
	var racers sync.WaitGroup
	for i := range 4 {
		racers.Go(func() {
			for round := range 3 {
				_, _ = w.Publish(w.ctx, fmt.Sprintf("racer-%d", i), func(c *operator.Config) {
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
		racers.Wait()
		return nil
	}, nil
}

// waveJobs is the size of a wave of cancellations.
const waveJobs = 200

// strikeCancellationWave submits jobs and cancels them all at once.
func strikeCancellationWave(w *world) (func() error, error) {
	var wave sync.WaitGroup
	for i := range waveJobs {
		wave.Go(func() {
			id := w.job(w.lin, queueLots, echoJob(fmt.Sprintf("wave %d", i), 2))
			if id != "" {
				_ = w.lin.Cancel(harness.Within(w.ctx, submitTimeout), w.entriesFrom()[0], id)
			}
		})
	}
	return func() error {
		wave.Wait()
		return nil
	}, nil
}

// strikeAll kills the holder of zone A and a worker while the log is slow and
// zone B is cut from the platform.
func strikeAll(w *world) (func() error, error) {
	kill, err := strikeKill(w)
	if err != nil {
		return nil, err
	}
	slow, err := w.LogSwitch("latency", "500ms", "0s")
	if err != nil {
		return nil, err
	}
	cut, err := w.CutLinks(string(CutPlatform), w.ToLog(zoneB), testrelay.Blackhole())
	if err != nil {
		return nil, err
	}
	return both(cut, slow, w.FailEndpoint(zoneA+"-w1"), kill), nil
}

// strikeTwice kills the holder of zone A, and after a takeover its successor.
func strikeTwice(w *world) (func() error, error) {
	first, err := w.victim()
	if err != nil {
		return nil, err
	}
	healFirst := w.KillDaemon(first)
	harness.Eventually(harness.Within(w.ctx, stepTimeout), func() bool {
		now, err := w.holder(zoneA)
		return err == nil && now != first
	})
	if err := healFirst(); err != nil {
		return nil, err
	}
	return strikeKill(w)
}
