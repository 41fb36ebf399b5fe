package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// tasksPerJob is the size of the jobs that are submitted.
const tasksPerJob = 4

// Jobs measures the log appends and processor time of a holder over the rate of
// jobs.
func (b *Bench) Jobs() ([]Series, error) {
	s := Series{Name: "holder-jobs", X: "jobs a second"}
	err := b.run(cellOptions{zones: oneZone(2, 8, 0)}, func(c *testCell) error {
		holder, front := c.holder("zone-a"), c.frontDoor()
		calls := newCaller(front)
		defer calls.close()
		for _, rate := range []float64{1, 5, 10, 20, 40, 80} {
			failed := 0.0
			values, err := c.window(b.Window, func() {
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
	// failoverDaemons is the daemons of the zone whose holder is killed; twice
	// in each cell.
	failoverDaemons = 4
	failoverTrials  = 2
	// failoverRate is the rate of requests while the holder is killed.
	failoverRate = 20
	// failoverLength is how long requests go on after the kill.
	failoverLength = 8 * time.Second
)

// busyPerEndpoint is how many tasks run for each endpoint of the zone while a
// holder with running tasks is killed: three quarters of the runners' slots.
const busyPerEndpoint = runnerSlots / 2 * 3 / 4

// Failover measures the time from the kill of a holder to the first start by
// its successor and to the attachment of all endpoints, without and with
// running tasks.
func (b *Bench) Failover() ([]Series, error) {
	idle := Series{Name: "failover", X: "endpoints of the zone"}
	for _, n := range []int{16, 32, 64, 128, 256} {
		if err := b.failovers(n, 0, &idle); err != nil {
			return nil, err
		}
	}
	return []Series{idle}, nil
}

// BusyFailover is Failover while tasks run on the endpoints.
func (b *Bench) BusyFailover() ([]Series, error) {
	busy := Series{Name: "failover-busy", X: "endpoints of the zone"}
	for _, n := range []int{32, 64, 128, 256} {
		if err := b.failovers(n, busyPerEndpoint*n, &busy); err != nil {
			return nil, err
		}
	}
	return []Series{busy}, nil
}

// failovers kills the holders of one cell while a number of tasks run.
func (b *Bench) failovers(n, tasks int, s *Series) error {
	return b.run(cellOptions{zones: oneZone(failoverDaemons, n/2, n-n/2)}, func(c *testCell) error {
		stop, err := c.occupy(tasks)
		defer stop()
		for trial := 0; err == nil && trial < failoverTrials; trial++ {
			err = b.failover(c, n, s)
		}
		return err
	})
}

// occupy runs a number of tasks until the returned function is called.
func (c *testCell) occupy(tasks int) (stop func(), err error) {
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
	return stop, eventually("all tasks run", func() bool {
		v, err := holder.vars()
		return err == nil && v["tasks_started_total"] >= float64(tasks)
	})
}

// failover kills the holder once.
func (b *Bench) failover(c *testCell, n int, s *Series) error {
	holder, front := c.holder("zone-a"), c.frontDoor()
	if holder == nil || front == nil {
		return errors.New("the zone has no holder to kill")
	}
	before := c.stops()
	calls := newCaller(front)
	defer calls.close()
	var killed time.Time
	time.AfterFunc(time.Second, func() {
		holder.kill()
		killed = time.Now()
		c.endpointMeter.reset()
	})
	result, err := calls.make(failoverRate, failoverLength, func(ctx context.Context) error {
		return calls.request(ctx, "echo", "sixteen bytes in")
	})
	if err != nil {
		return err
	}
	_, firstStart, _ := c.endpointMeter.firsts(endpoint.PathStart)
	attached, _, lastAttach := c.endpointMeter.firsts(endpoint.PathAttach)
	s.add(b, float64(n), map[string]float64{
		"first_start_s": firstStart.Sub(killed).Seconds(),
		"full_s":        lastAttach.Sub(killed).Seconds(),
		"attached":      float64(attached),
		"max_wait_s":    float64(result.Rows[0].Latency.Max) / 1e6,
		"p50_wait_ms":   float64(result.Rows[0].Latency.P50) / 1e3,
		"not_done":      float64(result.Due - result.Count("done")),
		"stops":         float64(c.stops() - before),
	})
	return nil
}

// stops is how many commands to stop tasks the endpoints have had.
func (c *testCell) stops() int64 { return c.endpointMeter.requests(endpoint.PathStop) }

const (
	// skewLimit is the upper limit whose use moves between zones.
	skewLimit = 48
	// skewLength is how long one zone asks for all of it.
	skewLength = 8 * time.Second
	// skewExcess is the demand over the limit.
	skewExcess = 1.5
)

// Allotment measures transfers and the usable share of an upper limit when all
// demand is in one zone and then moves to another.
func (b *Bench) Allotment() ([]Series, error) {
	s := Series{Name: "allotment", X: "zones"}
	for _, n := range []int{2, 3, 4, 6} {
		zones := manyZones(n, 1, 1)
		for i := range zones {
			zones[i].runners = 2 * skewLimit / runnerSlots
		}
		err := b.run(cellOptions{zones: zones, direct: true, config: configFor(zones, skewLimit, 0)}, func(c *testCell) error {
			return b.skew(c, &s)
		})
		if err != nil {
			return nil, err
		}
	}
	return []Series{s}, nil
}

// skew sends all demand to the first zone, then to the second.
func (b *Bench) skew(c *testCell, s *Series) error {
	values := make(map[string]float64)
	for i, when := range []string{"first", "moved"} {
		p := c.daemons[i]
		calls := newCaller(p)
		usable := newUsage(p)
		rates, err := c.window(skewLength, func() {
			_, _ = calls.make(skewLimit*skewExcess, skewLength, func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
				defer cancel()
				return calls.request(ctx, "sleep", "1s")
			})
		}, c.daemons...)
		calls.close()
		usable.stop()
		if err != nil {
			return err
		}
		mean := average(rates)
		values[when+"_transfers_s"] = mean["appends_transfer_s"] * float64(len(c.daemons))
		values[when+"_usable"] = usable.top / skewLimit
		values[when+"_full_after_s"] = usable.after.Seconds()
	}
	s.add(b, float64(len(c.daemons)), values)
	return nil
}

// usage watches how many tasks of the load run in a zone.
type usage struct {
	done chan struct{}
	wait sync.WaitGroup
	// top is the most tasks that ran at a time, and after is when that many
	// ran first.
	top   float64
	after time.Duration
}

// newUsage watches a holder until stop.
func newUsage(p *process) *usage {
	u := &usage{done: make(chan struct{})}
	began := time.Now()
	first, err := p.vars()
	if err != nil {
		first = map[string]float64{}
	}
	u.wait.Go(func() {
		for {
			select {
			case <-u.done:
				return
			case <-time.After(poll):
			}
			v, err := p.vars()
			if err != nil {
				continue
			}
			running := running(v) - running(first)
			if running > u.top {
				u.top, u.after = running, time.Since(began)
			}
		}
	})
	return u
}

// running is how many of the started tasks have not ended.
func running(v map[string]float64) float64 {
	ended := 0.0
	for _, state := range []string{"done", "failed", "stopped"} {
		ended += v["tasks_finished_total."+state]
	}
	return v["tasks_started_total"] - ended
}

// stop ends the watch.
func (u *usage) stop() {
	close(u.done)
	u.wait.Wait()
}
