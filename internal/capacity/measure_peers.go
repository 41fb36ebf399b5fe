package capacity

import (
	"fmt"
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Peers measures idle daemons over the daemons of a zone and over the zones.
func (b *Bench) Peers() ([]Series, error) {
	zone := Series{Name: "peers-zone", X: "daemons in the zone"}
	for _, n := range []int{2, 3, 4, 6} {
		if err := b.idle(cellOptions{zones: oneZone(n, 0, 0)}, float64(n), &zone); err != nil {
			return nil, err
		}
	}
	zones := Series{Name: "peers-zones", X: "zones of one daemon each"}
	for _, n := range []int{1, 2, 4, 6, 12} {
		if err := b.idle(cellOptions{zones: manyZones(n, 1, 1), direct: true}, float64(n), &zones); err != nil {
			return nil, err
		}
	}
	return []Series{zone, zones}, nil
}

// idle measures the mean of a cell's daemons without load.
func (b *Bench) idle(o cellOptions, x float64, s *Series) error {
	return b.run(o, func(c *testCell) error {
		values, err := c.window(b.Window, nil, c.daemons...)
		if err == nil {
			mean := average(values)
			mean["max_cpu_percent"] = highest(values, valueCPU)
			s.add(b, x, mean)
		}
		return err
	})
}

// manyZones is a number of regions, each with some zones.
func manyZones(regions, perRegion, daemons int) []zoneSize {
	var out []zoneSize
	for r := range regions {
		for z := range perRegion {
			out = append(out, zoneSize{name: fmt.Sprintf("zone-%02d-%d", r, z), region: fmt.Sprintf("region-%02d", r), daemons: daemons})
		}
	}
	return out
}

// Tail measures following the log over the rate of small records, for daemons
// that relay within two regions and for daemons that all read the log.
func (b *Bench) Tail() ([]Series, error) {
	var out []Series
	for _, direct := range []bool{false, true} {
		s := Series{Name: "tail-" + way(direct), X: "records a second"}
		err := b.run(cellOptions{zones: manyZones(2, 2, 2), direct: direct}, func(c *testCell) error {
			for _, rate := range []int{0, 50, 100, 200, 400} {
				stop := c.append(rate)
				values, err := c.window(b.Window, nil, c.daemons...)
				stop()
				if err != nil {
					return err
				}
				s.add(b, float64(rate), average(values))
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// way names how daemons follow the log.
func way(direct bool) string {
	if direct {
		return "direct"
	}
	return "relay"
}

// append appends void transfers at a rate until the returned function is
// called.
func (c *testCell) append(rate int) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if rate == 0 {
			return
		}
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			c.appendVoid(i)
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// appendVoid appends a transfer of an epoch that no zone has.
func (c *testCell) appendVoid(i int) {
	id := fmt.Sprintf("void-transfer-%08d", i)
	data, err := record.Encode(&record.Envelope{Kind: record.KindTransfer, Seen: 1, Transfer: &record.Transfer{
		ID: id, Team: benchTeam, From: "zone-00-0", To: "zone-01-0", Amount: 1, Epoch: 1 << 40,
	}})
	if err == nil {
		c.log.Append(id, data)
	}
}

const (
	// publications is how often a configuration is changed at each size.
	publications = 6
	// publishPause is the time between two changes.
	publishPause = time.Second
	// designOtherTeams makes the configuration as long as in the design.
	designOtherTeams = designTeams - 1
)

// Config measures how a change of a configuration of the design's length
// reaches the daemons, over their number, by relay and by direct reading.
func (b *Bench) Config() ([]Series, error) {
	var out []Series
	for _, direct := range []bool{false, true} {
		s := Series{Name: "config-" + way(direct), X: "daemons"}
		for _, shape := range []struct{ regions, zones int }{{2, 1}, {2, 2}, {4, 2}, {4, 4}} {
			zones := manyZones(shape.regions, shape.zones, 2)
			o := cellOptions{zones: zones, direct: direct, config: configFor(zones, plenty, designOtherTeams)}
			if err := b.run(o, func(c *testCell) error { return b.config(c, &s) }); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	return out, nil
}

// config publishes changes in one cell.
func (b *Bench) config(c *testCell, s *Series) error {
	before, err := c.window(publications*publishPause, nil, c.daemons...)
	if err != nil {
		return err
	}
	var delays []float64
	var failure error
	logBefore := c.logBytes()
	during, err := c.window(publications*publishPause, func() {
		for i := range publications {
			more, err := c.change(i)
			if err != nil {
				failure = err
				return
			}
			delays = append(delays, more...)
			time.Sleep(publishPause / 2)
		}
	}, c.daemons...)
	if err != nil {
		return err
	}
	if failure != nil {
		return failure
	}
	sort.Float64s(delays)
	idle, busy := average(before), average(during)
	daemons := float64(len(c.daemons))
	s.add(b, daemons, map[string]float64{
		"config_bytes":           float64(len(c.text)),
		"record_bytes":           float64(c.published),
		"p50_ms":                 delays[len(delays)/2],
		"max_ms":                 delays[len(delays)-1],
		valueCPU:                 busy[valueCPU],
		valueRSS:                 busy[valueRSS],
		"cpu_ms_per_change":      (busy[valueCPU] - idle[valueCPU]) / percent * 1000 / publications * (publications * publishPause).Seconds(),
		"log_bytes_per_change":   (c.logBytes() - logBefore - daemons*idle[valueLog]*(publications*publishPause).Seconds()) / publications,
		"regions":                float64(len(c.logMeters)),
		"log_bytes_region_idle":  daemons * idle[valueLog] / float64(len(c.logMeters)),
		"peer_bytes_idle_daemon": idle[valuePeer],
	})
	return nil
}

// change publishes one change and returns after how many milliseconds each
// daemon had it in force.
func (c *testCell) change(i int) ([]float64, error) {
	c.options.config.Teams[0].UpperLimit = int64(plenty + i + 1)
	published := time.Now()
	if err := c.publish(c.options.config); err != nil {
		return nil, err
	}
	err := eventually("the change is in force everywhere", func() bool {
		for _, p := range c.daemons {
			if _, ok := p.inForceAt(c.version); !ok {
				return false
			}
		}
		return true
	})
	var out []float64
	for _, p := range c.daemons {
		if at, ok := p.inForceAt(c.version); ok {
			out = append(out, float64(at.Sub(published).Microseconds())/1000)
		}
	}
	return out, err
}
