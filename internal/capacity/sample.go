package capacity

import (
	"time"
)

// Names of measured values in the points of a series.
const (
	valueCPU      = "cpu_percent"
	valueRSS      = "rss_mb"
	valueHeap     = "heap_mb"
	valueEndpoint = "endpoint_bytes_s"
	valueCommands = "endpoint_commands_s"
	valueLog      = "log_bytes_s"
	valueList     = "list_bytes_s"
	valuePeer     = "peer_bytes_s"
	valueAppends  = "appends_s"
)

const (
	percent    = 100
	bytesPerMB = 1 << 20
)

// sample holds the counters of one daemon and of its cell's meters at one time.
type sample struct {
	at       time.Time
	cpu, rss float64
	vars     map[string]float64
	endpoint float64
	commands float64
	log      float64
	list     float64
}

// takeSample reads the counters of a daemon. It reads the metrics outside of the
// window over which processor time is measured, before its start and
// after its end, so that reading them does not count.
func (c *testCell) takeSample(p *process, begin bool) (s sample, err error) {
	if begin {
		if s.vars, err = p.vars(); err != nil {
			return s, err
		}
	}
	if s.cpu, err = p.cpu(); err != nil {
		return s, err
	}
	if s.rss, err = p.rss(); err != nil {
		return s, err
	}
	s.at = time.Now()
	s.endpoint = float64(c.endpointMeter.bytes.Load())
	s.commands = float64(c.endpointMeter.requestCount(""))
	s.log, s.list = c.logBytes(), float64(c.listMeter.bytes.Load())
	if !begin {
		s.vars, err = p.vars()
	}
	return s, err
}

// measure measures daemons over at least the given time, during which run, if it
// isn't nil, generates load.
func (c *testCell) measure(length time.Duration, run func(), daemons ...*process) ([]map[string]float64, error) {
	begin, err := c.sampleAll(true, daemons)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(length)
	if run != nil {
		run()
	}
	time.Sleep(time.Until(until))
	end, err := c.sampleAll(false, daemons)
	if err != nil {
		return nil, err
	}
	out := make([]map[string]float64, len(daemons))
	for i := range daemons {
		out[i] = rates(begin[i], end[i])
	}
	return out, nil
}

// sampleAll takes a sample of each daemon.
func (c *testCell) sampleAll(begin bool, daemons []*process) ([]sample, error) {
	out := make([]sample, len(daemons))
	for i, p := range daemons {
		s, err := c.takeSample(p, begin)
		if err != nil {
			return nil, err
		}
		out[i] = s
	}
	return out, nil
}

// rates computes the values of a point from two samples: counters as rates per
// second between a and b, sizes as of b.
func rates(a, b sample) map[string]float64 {
	seconds := b.at.Sub(a.at).Seconds()
	out := map[string]float64{
		valueCPU:      (b.cpu - a.cpu) / seconds * percent,
		valueRSS:      b.rss / bytesPerMB,
		valueHeap:     b.vars["memstats.HeapAlloc"] / bytesPerMB,
		valueEndpoint: (b.endpoint - a.endpoint) / seconds,
		valueCommands: (b.commands - a.commands) / seconds,
		valueLog:      (b.log - a.log) / seconds,
		valueList:     (b.list - a.list) / seconds,
		valuePeer:     sumDelta(a, b, "peer_bytes_total.") / seconds,
		valueAppends:  sumDelta(a, b, "log_appends_total.") / seconds,
	}
	for _, name := range []string{"tasks_started_total", "placement_decisions_total", "placement_ns_total", "log_append_bytes_total"} {
		out[name+"_s"] = (b.vars[name] - a.vars[name]) / seconds
	}
	for _, kind := range []string{"jobs", "outcomes", "transfer", "roster", "snapshot", "report"} {
		out["appends_"+kind+"_s"] = delta(a, b, "log_appends_total."+kind) / seconds
	}
	for _, source := range []string{"log", "peer"} {
		out["tail_"+source+"_bytes_s"] = delta(a, b, "log_tail_bytes_total."+source) / seconds
	}
	return out
}

// delta returns the growth of one metric.
func delta(a, b sample, name string) float64 { return b.vars[name] - a.vars[name] }

// sumDelta returns the total growth of all metrics whose names begin with prefix.
func sumDelta(a, b sample, prefix string) float64 {
	total := 0.0
	for name, v := range b.vars {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix {
			total += v - a.vars[name]
		}
	}
	return total
}

// cellWideValues names the values that the meters count for all daemons of a
// cell together.
var cellWideValues = []string{valueEndpoint, valueCommands, valueLog, valueList}

// average returns the mean of each value over all daemons of a cell. Each daemon
// has the total of the cell for the cell-wide values, so their mean is divided by
// the number of daemons once more.
func average(points []map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for _, values := range points {
		for name, v := range values {
			out[name] += v / float64(len(points))
		}
	}
	for _, name := range cellWideValues {
		out[name] /= float64(len(points))
	}
	return out
}

// maxOf returns the maximum of one value over several daemons.
func maxOf(points []map[string]float64, name string) float64 {
	largest := 0.0
	for _, values := range points {
		largest = max(largest, values[name])
	}
	return largest
}
