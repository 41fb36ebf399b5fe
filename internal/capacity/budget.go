package capacity

// Row is one line of the budget table: a computed value of one role and the
// budget that it must not exceed.
type Row struct {
	Role     string
	Value    string
	Budget   float64
	Computed float64
}

// Values that the budget table compares, with their units.
const (
	rowCPU     = "CPU, % of a core"
	rowMemory  = "memory, MB"
	rowBytes   = "bytes/s"
	rowAppends = "appends/s"
)

// costComponent is one contribution to what a daemon spends: the slope of a
// series, multiplied by a size of the design.
type costComponent struct {
	role   string
	series string
	size   float64
	// byteValues names the values that count bytes. byteFactor is 2 if the
	// daemon exchanges as many bytes again as the server of other daemons, and
	// 1 otherwise.
	byteValues []string
	byteFactor float64
	// saturates is set if the series levels off, so that its growth from zero
	// is interpolated between its points instead of taken from a line through
	// all of them.
	saturates bool
}

// holderComponents returns what the holder of a zone spends at the peak. A
// front door is a daemon that takes callers' requests; a holder can be one too.
func holderComponents() []costComponent {
	return []costComponent{
		{"zone holder: sessions of idle endpoints", "holder-endpoints", designWorkersPerZone, []string{valueEndpoint}, 1, false},
		{"zone holder: starts at the peak", "holder-starts-idle", designStartsPerZone, []string{valueEndpoint, valuePeer}, 1, false},
		{"zone holder: answered requests remembered", "holder-retained", designStartsPerZone * requestRetentionSeconds, nil, 1, false},
		{"front door: a zone's requests over its daemons", "front-door-idle", designStartsPerZone / designDaemonsPerZone, []string{valuePeer}, 1, false},
		{"directory: instances in the platform's list", "directory", designWorkers + designDaemons, []string{valueList}, 1, false},
		{"membership: daemons of the zone", "peers-zone", designDaemonsPerZone - 1, []string{valuePeer}, 2, false},
		{"membership: holders of other zones", "peers-zones", designZones - 1, []string{valuePeer}, 2, false},
		{"log tail by relay at the appends' budget", "tail-relay", budgetAppendsPerSecond, []string{valuePeer, valueLog}, 1, true},
	}
}

// Budgets extrapolates the measured slopes to the design size. It leaves out
// rows whose series is missing.
func (r *Results) Budgets() []Row {
	b := &budgetTable{results: r}
	b.addDaemonRows()
	b.addAppendRows()
	b.addDelayRows()
	return b.rows
}

// addDaemonRows adds the rows of each component, and their sum if all
// components were measured.
func (b *budgetTable) addDaemonRows() {
	baseCPU, complete := b.fit("directory", valueCPU)
	baseMB, _ := b.fit("directory", valueRSS)
	if complete {
		b.addRow("daemon without any load", rowCPU, budgetCPUPercent, baseCPU.Intercept)
		b.addRow("daemon without any load", rowMemory, budgetMemoryMB, baseMB.Intercept)
	}
	idle := b.idleBytes()
	if complete {
		b.addRow("daemon without any load", rowBytes, budgetBytesPerSecond, idle)
	}
	cpu, mb, bytes := baseCPU.Intercept, baseMB.Intercept, idle
	for _, c := range holderComponents() {
		moreCPU, moreMB, moreBytes, ok := b.addComponentRows(c)
		cpu, mb, bytes, complete = cpu+moreCPU, mb+moreMB, bytes+moreBytes, complete && ok
	}
	configBytes, ok := b.addConfigRow()
	bytes, complete = bytes+configBytes, complete && ok
	if !complete {
		return
	}
	cpu, mb, bytes = cpu+reportCPUPercent, mb+reportMemoryMB, bytes+reportBytesPerSecond
	b.addRow("service-level report, by its benchmark", rowCPU, budgetCPUPercent, reportCPUPercent)
	b.addRow("service-level report, by its benchmark", rowMemory, budgetMemoryMB, reportMemoryMB)
	b.addRow("service-level report, by its benchmark", rowBytes, budgetBytesPerSecond, reportBytesPerSecond)
	b.addRow("sum: a holder that is a front door as well", rowCPU, budgetCPUPercent, cpu)
	b.addRow("sum: a holder that is a front door as well", rowMemory, budgetMemoryMB, mb)
	b.addRow("sum: a holder that is a front door as well", rowBytes, budgetBytesPerSecond, bytes)
}

// idleBytes returns the bytes per second that an idle daemon exchanges with the
// log and the platform's list.
func (b *budgetTable) idleBytes() float64 {
	sum := 0.0
	for _, value := range []string{valueList, valueLog} {
		if f, ok := b.fit("directory", value); ok {
			sum += max(f.Intercept, 0)
		}
	}
	return sum
}

// addConfigRow adds the configuration bytes that each reader of the log
// receives, as the mean per second over a day, and returns that mean.
func (b *budgetTable) addConfigRow() (mean float64, ok bool) {
	f, ok := b.fit("config-direct", "log_bytes_per_change")
	if !ok {
		return 0, false
	}
	mean = f.Slope * designConfigChangesPerDay / secondsPerDay
	b.addRow("configuration: a patch in each change", rowBytes, budgetBytesPerSecond, mean)
	return mean, true
}

// addAppendRows adds the log appends of jobs over all zones. A batcher groups
// the records of one interval. At the mean rate of a day it groups hardly any,
// so the cost per job is that of the lowest measured rate. At the peak the cost
// is interpolated at one zone's share of the rate.
func (b *budgetTable) addAppendRows() {
	s := b.results.series("holder-jobs")
	if s == nil || len(s.Points) == 0 || s.Points[0].X == 0 {
		return
	}
	job := s.Points[0].Values[valueAppends] / s.Points[0].X
	b.addRow("log appends of jobs, mean of a day", rowAppends, budgetAppendsPerSecond, job*designJobsPerDay/secondsPerDay)
	if zone, ok := s.Interpolate(valueAppends, designPeakJobsPerSecond/designZones); ok {
		b.addRow("log appends of jobs, all starts of the peak", rowAppends, budgetAppendsPerSecond, zone*designZones)
	}
}

// addDelayRows adds the rows of delays.
func (b *budgetTable) addDelayRows() {
	for _, path := range []string{"relay", "direct"} {
		if f, ok := b.fit("config-"+path, "max_ms"); ok {
			b.addRow("last daemon has a change in force, by "+path, "delay, ms", float64(budgetConfigDelay.Milliseconds()), f.At(designDaemons))
		}
	}
	for _, delay := range []struct{ role, value string }{
		{"first start after a holder's death", "first_start_s"},
		{"all endpoints attached after a holder's death", "full_s"},
		{"longest wait of a request through a holder's death", "max_wait_s"},
	} {
		if f, ok := b.fit("failover", delay.value); ok {
			b.addRow(delay.role, "delay, s", budgetStartDelay.Seconds(), f.At(designWorkersPerZone))
		}
	}
}

// budgetTable collects the rows that Budgets computes from results.
type budgetTable struct {
	results *Results
	rows    []Row
}

// fit returns the line through a value of a series, and false if the series
// is missing or has too few points.
func (b *budgetTable) fit(series, value string) (Fit, bool) {
	s := b.results.series(series)
	if s == nil {
		return Fit{}, false
	}
	return s.Fit(value)
}

// growth returns by how much a value grows from size zero to the component's
// size. A falling value counts as no growth.
func (b *budgetTable) growth(c costComponent, value string) (float64, bool) {
	if c.saturates {
		return b.interpolatedGrowth(c, value)
	}
	f, ok := b.fit(c.series, value)
	return max(f.Slope, 0) * c.size, ok
}

// interpolatedGrowth is growth for a series that levels off.
func (b *budgetTable) interpolatedGrowth(c costComponent, value string) (float64, bool) {
	s := b.results.series(c.series)
	if s == nil {
		return 0, false
	}
	from, begun := s.Interpolate(value, 0)
	to, ended := s.Interpolate(value, c.size)
	return max(to-from, 0), begun && ended
}

// addComponentRows adds the rows of one component and returns what it spends;
// ok is false if its series was not measured.
func (b *budgetTable) addComponentRows(c costComponent) (cpu, mb, bytes float64, ok bool) {
	cpu, ok = b.growth(c, valueCPU)
	if !ok {
		return 0, 0, 0, false
	}
	b.addRow(c.role, rowCPU, budgetCPUPercent, cpu)
	if more, ok := b.growth(c, valueRSS); ok {
		mb = more
		b.addRow(c.role, rowMemory, budgetMemoryMB, mb)
	}
	for _, value := range c.byteValues {
		if more, ok := b.growth(c, value); ok {
			bytes += more * c.byteFactor
		}
	}
	if len(c.byteValues) > 0 {
		b.addRow(c.role, rowBytes, budgetBytesPerSecond, bytes)
	}
	return cpu, mb, bytes, true
}

// addRow appends a row.
func (b *budgetTable) addRow(role, value string, budget, computed float64) {
	b.rows = append(b.rows, Row{Role: role, Value: value, Budget: budget, Computed: computed})
}
