package capacity

// Row is one line of the table of budgets.
type Row struct {
	Role     string
	Value    string
	Budget   float64
	Computed float64
}

// Values of the table, with their units.
const (
	rowCPU     = "CPU, % of a core"
	rowMB      = "memory, MB"
	rowBytes   = "bytes/s"
	rowAppends = "appends/s"
)

// part is one cause of a daemon's spending: the slope of a series at a size of
// the design.
type part struct {
	role   string
	series string
	size   float64
	// bytes are the values that count bytes, and ends is 2 if the daemon
	// spends as many again as the server of others.
	bytes []string
	ends  float64
	// levels is whether the series levels off, so that its rise from zero is
	// read between its points instead of from a line through all.
	levels bool
}

// holderParts are what a daemon spends that holds its zone at the peak.
func holderParts() []part {
	return []part{
		{"zone holder: sessions of idle endpoints", "holder-endpoints", designWorkersAZone, []string{valueEndpoint}, 1, false},
		{"zone holder: starts at the peak", "holder-starts-idle", designStartsAZone, []string{valueEndpoint, valuePeer}, 1, false},
		{"zone holder: answered requests remembered", "holder-retained", designStartsAZone * retainedSeconds, nil, 1, false},
		{"front door: a zone's requests over its daemons", "front-door-idle", designStartsAZone / designDaemonsAZone, []string{valuePeer}, 1, false},
		{"directory: instances in the platform's list", "directory", designWorkers + designDaemons, []string{valueList}, 1, false},
		{"membership: daemons of the zone", "peers-zone", designDaemonsAZone - 1, []string{valuePeer}, 2, false},
		{"membership: holders of other zones", "peers-zones", designZones - 1, []string{valuePeer}, 2, false},
		{"log tail by relay at the appends' budget", "tail-relay", budgetAppends, []string{valuePeer, valueLog}, 1, true},
	}
}

// Budgets works out the size to design for from the slopes that have been
// measured; rows whose series is missing are left out.
func (r *Results) Budgets() []Row {
	b := &book{results: r}
	b.daemon()
	b.appends()
	b.times()
	return b.rows
}

// daemon adds the rows of each cause, and their sum if all were measured.
func (b *book) daemon() {
	baseCPU, whole := b.fit("directory", valueCPU)
	baseMB, _ := b.fit("directory", valueRSS)
	if whole {
		b.add("daemon without any load", rowCPU, budgetCPUPercent, baseCPU.Intercept)
		b.add("daemon without any load", rowMB, budgetMB, baseMB.Intercept)
	}
	idle := b.idleBytes()
	if whole {
		b.add("daemon without any load", rowBytes, budgetBytes, idle)
	}
	cpu, mb, bytes := baseCPU.Intercept, baseMB.Intercept, idle
	for _, p := range holderParts() {
		c, m, n, ok := b.part(p)
		cpu, mb, bytes, whole = cpu+c, mb+m, bytes+n, whole && ok
	}
	n, ok := b.config()
	bytes, whole = bytes+n, whole && ok
	if !whole {
		return
	}
	cpu, mb, bytes = cpu+reportCPUPercent, mb+reportMB, bytes+reportBytes
	b.add("service-level report, by its benchmark", rowCPU, budgetCPUPercent, reportCPUPercent)
	b.add("service-level report, by its benchmark", rowMB, budgetMB, reportMB)
	b.add("service-level report, by its benchmark", rowBytes, budgetBytes, reportBytes)
	b.add("sum: a holder that is a front door as well", rowCPU, budgetCPUPercent, cpu)
	b.add("sum: a holder that is a front door as well", rowMB, budgetMB, mb)
	b.add("sum: a holder that is a front door as well", rowBytes, budgetBytes, bytes)
}

// idleBytes is what a daemon exchanges with the log and the platform's list
// when there is nothing to tell.
func (b *book) idleBytes() float64 {
	sum := 0.0
	for _, value := range []string{valueList, valueLog} {
		if f, ok := b.fit("directory", value); ok {
			sum += max(f.Intercept, 0)
		}
	}
	return sum
}

// config adds the bytes of configuration that each reader of the log takes in
// over a day, and returns their mean.
func (b *book) config() (mean float64, ok bool) {
	f, ok := b.fit("config-direct", "log_bytes_per_change")
	if !ok {
		return 0, false
	}
	mean = f.Slope * designConfigADay / secondsADay
	b.add("configuration: a patch in each change", rowBytes, budgetBytes, mean)
	return mean, true
}

// appends adds the log appends of jobs over all zones. A batcher groups what
// comes within its interval: at the mean of a day hardly anything, so that a
// job costs what it does at the lowest rate; at the peak what is read between
// the points for a zone's share.
func (b *book) appends() {
	s := b.results.series("holder-jobs")
	if s == nil || len(s.Points) == 0 || s.Points[0].X == 0 {
		return
	}
	job := s.Points[0].Values[valueAppends] / s.Points[0].X
	b.add("log appends of jobs, mean of a day", rowAppends, budgetAppends, job*designJobsADay/secondsADay)
	if zone, ok := s.Between(valueAppends, designJobsAtPeak/designZones); ok {
		b.add("log appends of jobs, all starts of the peak", rowAppends, budgetAppends, zone*designZones)
	}
}

// times adds the rows of delays.
func (b *book) times() {
	for _, way := range []string{"relay", "direct"} {
		if f, ok := b.fit("config-"+way, "max_ms"); ok {
			b.add("last daemon has a change in force, by "+way, "delay, ms", float64(budgetConfig.Milliseconds()), f.At(designDaemons))
		}
	}
	for _, delay := range []struct{ role, value string }{
		{"first start after a holder's death", "first_start_s"},
		{"all endpoints attached after a holder's death", "full_s"},
		{"longest wait of a request through a holder's death", "max_wait_s"},
	} {
		if f, ok := b.fit("failover", delay.value); ok {
			b.add(delay.role, "delay, s", budgetStart.Seconds(), f.At(designWorkersAZone))
		}
	}
}

// book collects rows.
type book struct {
	results *Results
	rows    []Row
}

// fit is the line through a value of a series, if that was measured.
func (b *book) fit(series, value string) (Fit, bool) {
	s := b.results.series(series)
	if s == nil {
		return Fit{}, false
	}
	return s.Fit(value)
}

// rise is what a value grows by from size zero to the part's size; a value that
// falls counts as none.
func (b *book) rise(p part, value string) (float64, bool) {
	if p.levels {
		return b.riseBetween(p, value)
	}
	f, ok := b.fit(p.series, value)
	return max(f.Slope, 0) * p.size, ok
}

// riseBetween is rise for a series that levels off.
func (b *book) riseBetween(p part, value string) (float64, bool) {
	s := b.results.series(p.series)
	if s == nil {
		return 0, false
	}
	from, begun := s.Between(value, 0)
	to, ended := s.Between(value, p.size)
	return max(to-from, 0), begun && ended
}

// part adds the rows of one cause and returns what it spends.
func (b *book) part(p part) (cpu, mb, bytes float64, ok bool) {
	cpu, ok = b.rise(p, valueCPU)
	if !ok {
		return 0, 0, 0, false
	}
	b.add(p.role, rowCPU, budgetCPUPercent, cpu)
	if more, ok := b.rise(p, valueRSS); ok {
		mb = more
		b.add(p.role, rowMB, budgetMB, mb)
	}
	for _, value := range p.bytes {
		if more, ok := b.rise(p, value); ok {
			bytes += more * p.ends
		}
	}
	if len(p.bytes) > 0 {
		b.add(p.role, rowBytes, budgetBytes, bytes)
	}
	return cpu, mb, bytes, true
}

// add appends a row.
func (b *book) add(role, value string, budget, computed float64) {
	b.rows = append(b.rows, Row{Role: role, Value: value, Budget: budget, Computed: computed})
}
