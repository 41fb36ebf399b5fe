package capacity

import (
	"time"
)

// Names of measured values.
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
	percent = 100
	mega    = 1 << 20
)

// sample is the state of one daemon and of its cell's meters at an instant.
type sample struct {
	at       time.Time
	cpu, rss float64
	vars     map[string]float64
	endpoint float64
	commands float64
	log      float64
	list     float64
}

// sample reads a daemon. The metrics are read outside of the window that the
// processor time spans: before it at its begin and after it at its end.
func (c *testCell) sample(p *process, begin bool) (s sample, err error) {
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
	s.commands = float64(c.endpointMeter.requests(""))
	s.log, s.list = c.logBytes(), float64(c.listMeter.bytes.Load())
	if !begin {
		s.vars, err = p.vars()
	}
	return s, err
}

// window measures daemons over a time in which run, if any, makes load.
func (c *testCell) window(length time.Duration, run func(), of ...*process) ([]map[string]float64, error) {
	begin, err := c.samples(true, of)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(length)
	if run != nil {
		run()
	}
	time.Sleep(time.Until(until))
	end, err := c.samples(false, of)
	if err != nil {
		return nil, err
	}
	out := make([]map[string]float64, len(of))
	for i := range of {
		out[i] = rates(begin[i], end[i])
	}
	return out, nil
}

// samples reads several daemons.
func (c *testCell) samples(begin bool, of []*process) ([]sample, error) {
	out := make([]sample, len(of))
	for i, p := range of {
		s, err := c.sample(p, begin)
		if err != nil {
			return nil, err
		}
		out[i] = s
	}
	return out, nil
}

// rates turns two samples into values per second and sizes at the end.
func rates(a, b sample) map[string]float64 {
	seconds := b.at.Sub(a.at).Seconds()
	out := map[string]float64{
		valueCPU:      (b.cpu - a.cpu) / seconds * percent,
		valueRSS:      b.rss / mega,
		valueHeap:     b.vars["memstats.HeapAlloc"] / mega,
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

// delta is the growth of one metric.
func delta(a, b sample, name string) float64 { return b.vars[name] - a.vars[name] }

// sumDelta is the growth of all metrics with a prefix.
func sumDelta(a, b sample, prefix string) float64 {
	total := 0.0
	for name, v := range b.vars {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix {
			total += v - a.vars[name]
		}
	}
	return total
}

// cellWide are the values that the meters count for all daemons together.
var cellWide = []string{valueEndpoint, valueCommands, valueLog, valueList}

// average is the mean of each value over all daemons of a cell.
func average(of []map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for _, values := range of {
		for name, v := range values {
			out[name] += v / float64(len(of))
		}
	}
	for _, name := range cellWide {
		out[name] /= float64(len(of))
	}
	return out
}

// highest is the largest of one value over several daemons.
func highest(of []map[string]float64, name string) float64 {
	best := 0.0
	for _, values := range of {
		best = max(best, values[name])
	}
	return best
}
