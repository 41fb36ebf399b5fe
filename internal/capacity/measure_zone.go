package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bench runs the measurements.
type Bench struct {
	// Command starts a daemon; the path of its settings file is appended.
	Command []string
	// Window is for how long each size is measured.
	Window time.Duration
	// Logf reports progress.
	Logf func(format string, args ...any)
}

// settleTime is how long a cell runs before it is measured.
const settleTime = 2 * time.Second

// withCell starts a cell, waits settleTime, calls measure and closes the cell.
func (b *Bench) withCell(o cellOptions, measure func(*testCell) error) error {
	o.command = b.Command
	if o.config == nil {
		o.config = configFor(o.zones, ampleLimit, 0)
	}
	c, err := startCell(o)
	if err != nil {
		return err
	}
	defer c.close()
	time.Sleep(settleTime)
	return measure(c)
}

// Endpoints measures an idle holder over the number of endpoints in its zone,
// half of them workers and half runners.
func (b *Bench) Endpoints() ([]Series, error) {
	s := Series{Name: "holder-endpoints", X: "endpoints of the zone"}
	for _, n := range []int{16, 32, 64, 128, 256} {
		err := b.withCell(cellOptions{zones: oneZone(1, n/2, n-n/2)}, func(c *testCell) error {
			values, err := c.measure(b.Window, nil, c.daemons[0])
			if err == nil {
				s.add(b, float64(n), values[0])
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return []Series{s}, nil
}

// List measures a daemon without endpoints over the length of the platform's
// list.
func (b *Bench) List() ([]Series, error) {
	s := Series{Name: "directory", X: "instances in the platform's list"}
	for _, n := range []int{0, 1000, 2500, 5000} {
		err := b.withCell(cellOptions{zones: oneZone(1, 0, 0), extraInstances: n}, func(c *testCell) error {
			values, err := c.measure(b.Window, nil, c.daemons[0])
			if err == nil {
				s.add(b, float64(n), values[0])
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return []Series{s}, nil
}

// Starts measures, over the rate of requests, a holder and the front door, which
// is another daemon that takes the requests. It does so for short tasks and for
// tasks that keep their runners busy.
func (b *Bench) Starts() ([]Series, error) {
	var out []Series
	for _, kind := range []struct{ name, command, input string }{
		{"idle", "echo", "sixteen bytes in"},
		{"busy", "sleep", "250ms"},
	} {
		holder := Series{Name: "holder-starts-" + kind.name, X: "task starts a second"}
		frontDoor := Series{Name: "front-door-" + kind.name, X: "requests a second"}
		err := b.withCell(cellOptions{zones: oneZone(2, 0, 32)}, func(c *testCell) error {
			for _, rate := range []float64{50, 100, 200, 400} {
				if err := b.measureStarts(c, rate, kind.command, kind.input, &holder, &frontDoor); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, holder, frontDoor)
	}
	return out, nil
}

// measureStarts measures one rate.
func (b *Bench) measureStarts(c *testCell, rate float64, command, input string, holder, frontDoor *Series) error {
	front := c.frontDoor()
	calls := newCaller(front)
	defer calls.close()
	failed, p99 := 0.0, 0.0
	values, err := c.measure(b.Window, func() {
		result, err := calls.make(rate, b.Window, func(ctx context.Context) error { return calls.request(ctx, command, input) })
		if err == nil {
			failed = float64(result.Due - result.Count("done"))
			p99 = float64(result.Rows[0].Latency.P99) / 1000
		}
	}, c.holder("zone-a"), front)
	if err != nil {
		return err
	}
	values[0]["not_done"], values[0]["p99_ms"] = failed, p99
	holder.add(b, rate, values[0])
	frontDoor.add(b, rate, values[1])
	return nil
}

// Retained measures the memory of a holder over the number of answered requests
// that it still remembers.
func (b *Bench) Retained() ([]Series, error) {
	s := Series{Name: "holder-retained", X: "answered requests remembered"}
	err := b.withCell(cellOptions{zones: oneZone(2, 0, 64)}, func(c *testCell) error {
		holder, front := c.holder("zone-a"), c.frontDoor()
		calls := newCaller(front)
		defer calls.close()
		total := 0.0
		for _, more := range []int{0, 2000, 4000, 8000, 8000} {
			if more > 0 {
				result, err := calls.make(1000, time.Duration(more)*time.Millisecond, func(ctx context.Context) error {
					return calls.request(ctx, "echo", "sixteen bytes in")
				})
				if err != nil {
					return err
				}
				total += float64(result.Count("done"))
			}
			values, err := c.measure(time.Second, nil, holder)
			if err != nil {
				return err
			}
			s.add(b, total, values[0])
		}
		return nil
	})
	return []Series{s}, err
}

// Waiting measures the memory and idle processor time of a front door and a
// holder over the number of waiting requests.
func (b *Bench) Waiting() ([]Series, error) {
	holder := Series{Name: "holder-waiting", X: "waiting requests"}
	frontDoor := Series{Name: "front-door-waiting", X: "waiting requests"}
	for _, n := range []int{1000, 2000, 5000, 10000} {
		err := b.withCell(cellOptions{zones: oneZone(2, 0, 1)}, func(c *testCell) error {
			return b.measureWaiting(c, n, &holder, &frontDoor)
		})
		if err != nil {
			return nil, err
		}
	}
	return []Series{holder, frontDoor}, nil
}

// measureWaiting measures one number of waiting requests.
func (b *Bench) measureWaiting(c *testCell, n int, holder, frontDoor *Series) error {
	zoneHolder, front := c.holder("zone-a"), c.frontDoor()
	calls := newCaller(front)
	ctx, cancel := context.WithCancel(context.Background())
	var pending sync.WaitGroup
	defer func() {
		cancel()
		pending.Wait()
		calls.close()
	}()
	var refused atomic.Int64
	var reason atomic.Value
	for range n + runnerSlots {
		pending.Go(func() {
			if err := calls.request(ctx, "sleep", "10m"); err != nil && ctx.Err() == nil {
				refused.Add(1)
				reason.Store(err.Error())
			}
		})
		time.Sleep(200 * time.Microsecond)
	}
	waiting := 0.0
	err := waitUntil("all requests wait", func() bool {
		v, err := zoneHolder.vars()
		waiting = v["requests_waiting"]
		return err == nil && waiting >= float64(n)
	})
	if err != nil {
		return errors.Wrapf(err, "%g of %d wait, %d refused, the last with %v", waiting, n, refused.Load(), reason.Load())
	}
	values, err := c.measure(b.Window/2, nil, zoneHolder, front)
	if err != nil {
		return err
	}
	holder.add(b, float64(n), values[0])
	frontDoor.add(b, float64(n), values[1])
	return nil
}

// add appends a point and reports it as progress.
func (s *Series) add(b *Bench, x float64, values map[string]float64) {
	s.Points = append(s.Points, Point{X: x, Values: values})
	b.Logf("%s: %g %s: %v", s.Name, x, s.X, summarize(values))
}

// summarize formats processor time and memory, or all values if processor time
// was not measured.
func summarize(values map[string]float64) string {
	if cpu, ok := values[valueCPU]; ok {
		return fmt.Sprintf("cpu %.2f%%, rss %.1f MB", cpu, values[valueRSS])
	}
	return fmt.Sprint(values)
}
