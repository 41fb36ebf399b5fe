package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// tasksPerJob is the number of tasks of each submitted job.
const tasksPerJob = 4

// Jobs measures the log appends and the processor time of a holder over the rate
// of jobs.
func (b *Bench) Jobs() ([]Series, error) {
	s := Series{Name: "holder-jobs", X: "jobs a second"}
	err := b.withCell(cellOptions{zones: oneZone(2, 8, 0)}, func(c *testCell) error {
		holder, front := c.holder("zone-a"), c.frontDoor()
		calls := newCaller(front)
		defer calls.close()
		for _, rate := range []float64{1, 5, 10, 20, 40, 80} {
			failed := 0.0
			values, err := c.measure(b.Window, func() {
				result, err := calls.make(rate, b.Window, func(ctx context.Context) error {
					return calls.submit(ctx, tasksPerJob, "sixteen bytes in")
				})
				if err == nil {
					failed = float64(result.Due - result.Count("done"))
				}
			}, holder)
			if err != nil {
				return err
			}
			values[0]["not_accepted"] = failed
			s.add(b, rate, values[0])
		}
		return nil
	})
	return []Series{s}, err
}

const (
	// failoverDaemons is the number of daemons in the zone whose holder is
	// killed, failoverTrials times in each cell.
	failoverDaemons = 4
	failoverTrials  = 2
	// failoverRate is the rate, in requests per second, of the load during
	// which the holder is killed.
	failoverRate = 20
	// failoverLength is how long the load lasts; the holder is killed one
	// second after it starts.
	failoverLength = 8 * time.Second
)

// busyPerEndpoint is the number of running tasks per endpoint of the zone when
// the holder is killed. Half of the endpoints are runners, and three quarters of
// their slots are in use.
const busyPerEndpoint = runnerSlots / 2 * 3 / 4

// Failover measures, without long tasks on the endpoints, the time from the kill
// of a holder to the first start by its successor and to the attachment of all
// endpoints.
func (b *Bench) Failover() ([]Series, error) {
	idle := Series{Name: "failover", X: "endpoints of the zone"}
	for _, n := range []int{16, 32, 64, 128, 256} {
		if err := b.measureFailovers(n, 0, &idle); err != nil {
			return nil, err
		}
	}
	return []Series{idle}, nil
}

// BusyFailover measures the same as Failover while long tasks run on the
// endpoints.
func (b *Bench) BusyFailover() ([]Series, error) {
	busy := Series{Name: "failover-busy", X: "endpoints of the zone"}
	for _, n := range []int{32, 64, 128, 256} {
		if err := b.measureFailovers(n, busyPerEndpoint*n, &busy); err != nil {
			return nil, err
		}
	}
	return []Series{busy}, nil
}

// measureFailovers kills the holder of one cell failoverTrials times while a
// number of tasks run on n endpoints.
func (b *Bench) measureFailovers(n, tasks int, s *Series) error {
	return b.withCell(cellOptions{zones: oneZone(failoverDaemons, n/2, n-n/2)}, func(c *testCell) error {
		stop, err := c.startLongTasks(tasks)
		defer stop()
		for trial := 0; err == nil && trial < failoverTrials; trial++ {
			err = b.measureFailover(c, n, s)
		}
		return err
	})
}

// startLongTasks keeps a number of tasks running until the returned function is
// called.
func (c *testCell) startLongTasks(tasks int) (stop func(), err error) {
	holder := c.holder("zone-a")
	calls := newCaller(c.frontDoor())
	ctx, cancel := context.WithCancel(context.Background())
	var pending sync.WaitGroup
	for range tasks {
		pending.Go(func() { _ = calls.request(ctx, "sleep", "10m") })
	}
	stop = func() {
		cancel()
		pending.Wait()
		calls.close()
	}
	return stop, waitUntil("all tasks run", func() bool {
		v, err := holder.vars()
		return err == nil && v["tasks_started_total"] >= float64(tasks)
	})
}

// measureFailover kills the holder once and adds a point.
func (b *Bench) measureFailover(c *testCell, n int, s *Series) error {
	holder, front := c.holder("zone-a"), c.frontDoor()
	if holder == nil || front == nil {
		return errors.New("the zone has no holder to kill")
	}
	before := c.stopCommands()
	calls := newCaller(front)
	defer calls.close()
	var killed time.Time
	time.AfterFunc(time.Second, func() {
		holder.kill()
		killed = time.Now()
		c.endpointMeter.resetFirstRequests()
	})
	result, err := calls.make(failoverRate, failoverLength, func(ctx context.Context) error {
		return calls.request(ctx, "echo", "sixteen bytes in")
	})
	if err != nil {
		return err
	}
	_, firstStart, _ := c.endpointMeter.firstRequests(endpoint.PathStart)
	attached, _, lastAttach := c.endpointMeter.firstRequests(endpoint.PathAttach)
	s.add(b, float64(n), map[string]float64{
		"first_start_s": firstStart.Sub(killed).Seconds(),
		"full_s":        lastAttach.Sub(killed).Seconds(),
		"attached":      float64(attached),
		"max_wait_s":    float64(result.Rows[0].Latency.Max) / 1e6,
		"p50_wait_ms":   float64(result.Rows[0].Latency.P50) / 1e3,
		"not_done":      float64(result.Due - result.Count("done")),
		"stops":         float64(c.stopCommands() - before),
	})
	return nil
}

// stopCommands returns how many commands to stop a task the endpoints have
// received.
func (c *testCell) stopCommands() int64 { return c.endpointMeter.requestCount(endpoint.PathStop) }

const (
	// skewLimit is the upper limit, in running tasks, whose use moves between
	// zones.
	skewLimit = 48
	// skewLength is how long one zone has all of the demand.
	skewLength = 8 * time.Second
	// skewExcess is the ratio of the demand to the limit.
	skewExcess = 1.5
)

// Allotment measures, when all demand is in one zone and then moves to another,
// the rate of transfers and the usable fraction of an upper limit. An allotment
// is the part of a team's upper limit that a zone may use; zones transfer it to
// each other.
func (b *Bench) Allotment() ([]Series, error) {
	s := Series{Name: "allotment", X: "zones"}
	for _, n := range []int{2, 3, 4, 6} {
		zones := manyZones(n, 1, 1)
		for i := range zones {
			zones[i].runners = 2 * skewLimit / runnerSlots
		}
		err := b.withCell(cellOptions{zones: zones, directReads: true, config: configFor(zones, skewLimit, 0)}, func(c *testCell) error {
			return b.measureSkew(c, &s)
		})
		if err != nil {
			return nil, err
		}
	}
	return []Series{s}, nil
}

// measureSkew sends all demand to the first zone, then to the second.
func (b *Bench) measureSkew(c *testCell, s *Series) error {
	values := make(map[string]float64)
	for i, when := range []string{"first", "moved"} {
		p := c.daemons[i]
		calls := newCaller(p)
		monitor := monitorConcurrency(p)
		rates, err := c.measure(skewLength, func() {
			_, _ = calls.make(skewLimit*skewExcess, skewLength, func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
				defer cancel()
				return calls.request(ctx, "sleep", "1s")
			})
		}, c.daemons...)
		calls.close()
		monitor.stop()
		if err != nil {
			return err
		}
		mean := average(rates)
		values[when+"_transfers_s"] = mean["appends_transfer_s"] * float64(len(c.daemons))
		values[when+"_usable"] = monitor.peak / skewLimit
		values[when+"_full_after_s"] = monitor.peakAfter.Seconds()
	}
	s.add(b, float64(len(c.daemons)), values)
	return nil
}

// concurrencyMonitor records the largest number of tasks of a load that run in a
// zone at a time.
type concurrencyMonitor struct {
	done chan struct{}
	wait sync.WaitGroup
	// peak is the largest number of tasks that ran at a time, and peakAfter
	// is how long after the start of the monitor it was first reached.
	peak      float64
	peakAfter time.Duration
}

// monitorConcurrency polls the metrics of a holder until stop is called.
func monitorConcurrency(p *process) *concurrencyMonitor {
	m := &concurrencyMonitor{done: make(chan struct{})}
	began := time.Now()
	first, err := p.vars()
	if err != nil {
		first = map[string]float64{}
	}
	m.wait.Go(func() {
		for {
			select {
			case <-m.done:
				return
			case <-time.After(pollInterval):
			}
			v, err := p.vars()
			if err != nil {
				continue
			}
			running := runningTasks(v) - runningTasks(first)
			if running > m.peak {
				m.peak, m.peakAfter = running, time.Since(began)
			}
		}
	})
	return m
}

// runningTasks returns the number of started tasks that have not ended.
func runningTasks(v map[string]float64) float64 {
	ended := 0.0
	for _, state := range []string{"done", "failed", "stopped"} {
		ended += v["tasks_finished_total."+state]
	}
	return v["tasks_started_total"] - ended
}

// stop ends the monitoring and waits until it has ended.
func (m *concurrencyMonitor) stop() {
	close(m.done)
	m.wait.Wait()
}
