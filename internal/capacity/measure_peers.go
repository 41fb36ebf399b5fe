package capacity

import (
	"fmt"
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Peers measures idle daemons over the number of daemons in a zone and over the
// number of zones.
func (b *Bench) Peers() ([]Series, error) {
	zone := Series{Name: "peers-zone", X: "daemons in the zone"}
	for _, n := range []int{2, 3, 4, 6} {
		if err := b.measureIdle(cellOptions{zones: oneZone(n, 0, 0)}, float64(n), &zone); err != nil {
			return nil, err
		}
	}
	zones := Series{Name: "peers-zones", X: "zones of one daemon each"}
	for _, n := range []int{1, 2, 4, 6, 12} {
		if err := b.measureIdle(cellOptions{zones: manyZones(n, 1, 1), directReads: true}, float64(n), &zones); err != nil {
			return nil, err
		}
	}
	return []Series{zone, zones}, nil
}

// measureIdle measures the mean over the daemons of a cell without load.
func (b *Bench) measureIdle(o cellOptions, x float64, s *Series) error {
	return b.withCell(o, func(c *testCell) error {
		values, err := c.measure(b.Window, nil, c.daemons...)
		if err == nil {
			mean := average(values)
			mean["max_cpu_percent"] = maxOf(values, valueCPU)
			s.add(b, x, mean)
		}
		return err
	})
}

// manyZones returns perRegion zones in each of a number of regions, with the
// same number of daemons in each zone and no endpoints.
func manyZones(regions, perRegion, daemons int) []zoneSize {
	var out []zoneSize
	for r := range regions {
		for z := range perRegion {
			out = append(out, zoneSize{name: fmt.Sprintf("zone-%02d-%d", r, z), region: fmt.Sprintf("region-%02d", r), daemons: daemons})
		}
	}
	return out
}

// Tail measures the cost of following the log over the rate of small records,
// for daemons that relay the log within each of two regions and for daemons that
// all read the log themselves.
func (b *Bench) Tail() ([]Series, error) {
	var out []Series
	for _, direct := range []bool{false, true} {
		s := Series{Name: "tail-" + readPath(direct), X: "records a second"}
		err := b.withCell(cellOptions{zones: manyZones(2, 2, 2), directReads: direct}, func(c *testCell) error {
			for _, rate := range []int{0, 50, 100, 200, 400} {
				stop := c.append(rate)
				values, err := c.measure(b.Window, nil, c.daemons...)
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

// readPath returns the name in series of how daemons follow the log.
func readPath(direct bool) string {
	if direct {
		return "direct"
	}
	return "relay"
}

// append appends void transfers at a rate, in records per second, until the
// returned function is called.
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
			c.appendVoidTransfer(i)
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// appendVoidTransfer appends a transfer under an epoch that no zone has, so that
// daemons read the record but ignore it.
func (c *testCell) appendVoidTransfer(i int) {
	id := fmt.Sprintf("void-transfer-%08d", i)
	data, err := record.Encode(&record.Envelope{Kind: record.KindTransfer, Seen: 1, Transfer: &record.Transfer{
		ID: id, Team: benchTeam, From: "zone-00-0", To: "zone-01-0", Amount: 1, Epoch: 1 << 40,
	}})
	if err == nil {
		c.log.Append(id, data)
	}
}

const (
	// publications is the number of configuration changes at each size.
	publications = 6
	// publishPause is the length of the measured window per change. Half of
	// it is a pause after the change is in force everywhere.
	publishPause = time.Second
	// designOtherTeams gives the configuration the number of teams of the
	// design size.
	designOtherTeams = designTeams - 1
)

// Config measures, over the number of daemons, how a configuration change reaches
// them by relay and by direct reads. The configuration has the design's number of
// teams.
func (b *Bench) Config() ([]Series, error) {
	var out []Series
	for _, direct := range []bool{false, true} {
		s := Series{Name: "config-" + readPath(direct), X: "daemons"}
		for _, shape := range []struct{ regions, zones int }{{2, 1}, {2, 2}, {4, 2}, {4, 4}} {
			zones := manyZones(shape.regions, shape.zones, 2)
			o := cellOptions{zones: zones, directReads: direct, config: configFor(zones, ampleLimit, designOtherTeams)}
			if err := b.withCell(o, func(c *testCell) error { return b.measureConfigChanges(c, &s) }); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	return out, nil
}

// measureConfigChanges publishes changes in one cell and adds a point with the
// delays and with the cost beyond that of an idle window of the same length.
func (b *Bench) measureConfigChanges(c *testCell, s *Series) error {
	before, err := c.measure(publications*publishPause, nil, c.daemons...)
	if err != nil {
		return err
	}
	var delays []float64
	var failure error
	logBefore := c.logBytes()
	during, err := c.measure(publications*publishPause, func() {
		for i := range publications {
			more, err := c.publishChange(i)
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
		"record_bytes":           float64(c.recordBytes),
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

// publishChange publishes one change and returns, for each daemon, the
// milliseconds until the change was in force there.
func (c *testCell) publishChange(i int) ([]float64, error) {
	c.options.config.Teams[0].UpperLimit = int64(ampleLimit + i + 1)
	published := time.Now()
	if err := c.publish(c.options.config); err != nil {
		return nil, err
	}
	err := waitUntil("the change is in force everywhere", func() bool {
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
