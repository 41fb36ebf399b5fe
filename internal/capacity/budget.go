package capacity

// Row is one line of the table of budgets.
type Row struct {
	Role     string
	Value    string
	Budget   float64
	Computed float64
	Unit     string
}

// Units of the table.
const (
	unitCPU   = "% of a core"
	unitMB    = "MB"
	unitBytes = "bytes/s"
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
}

// holderParts are what a daemon spends that holds its zone at the peak.
func holderParts() []part {
	return []part{
		{"zone holder: sessions of idle endpoints", "holder-endpoints", designWorkersAZone, []string{valueEndpoint}, 1},
		{"zone holder: starts at the peak", "holder-starts-idle", designStartsAZone, []string{valueEndpoint, valuePeer}, 1},
		{"front door: a zone's requests over its daemons", "front-door-idle", designStartsAZone / designDaemonsAZone, []string{valuePeer}, 1},
		{"directory: platform's whole list", "directory", designWorkers + designDaemons, []string{valueList}, 1},
		{"membership: daemons of the zone", "peers-zone", designDaemonsAZone, []string{valuePeer}, 2},
		{"membership: holders of other zones", "peers-zones", designZones, []string{valuePeer}, 2},
		{"log tail by relay at the appends' budget", "tail-relay", budgetAppends, []string{valuePeer, valueLog}, 1},
	}
}

// Budgets works out the size to design for from the slopes that have been
// measured; rows whose series is missing are left out.
func (r *Results) Budgets() []Row {
	b := &book{results: r}
	b.add("daemon without any load", valueCPU, budgetCPUPercent, b.base(valueCPU), unitCPU)
	b.add("daemon without any load", valueRSS, budgetMB, b.base(valueRSS), unitMB)
	cpu, mb, bytes := b.base(valueCPU), b.base(valueRSS), 0.0
	for _, p := range holderParts() {
		c, m, n := b.part(p)
		cpu, mb, bytes = cpu+c, mb+m, bytes+n
	}
	b.add("sum: a holder that is a front door as well", valueCPU, budgetCPUPercent, cpu, unitCPU)
	b.add("sum: a holder that is a front door as well", valueRSS, budgetMB, mb, unitMB)
	b.add("sum: a holder that is a front door as well", "bytes_s", budgetBytes, bytes, unitBytes)
	b.times()
	return b.rows
}

// times adds the rows of delays.
func (b *book) times() {
	for _, way := range []string{"config-relay", "config-direct"} {
		if f, ok := b.fit(way, "max_ms"); ok {
			b.add(way+": last daemon has a change in force", "max_ms", float64(budgetConfig.Milliseconds()), f.At(designDaemons), "ms")
		}
	}
	for _, value := range []string{"first_start_s", "full_s", "max_wait_s"} {
		if f, ok := b.fit("failover", value); ok {
			b.add("death of a holder", value, budgetStart.Seconds(), f.At(designWorkersAZone), "s")
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

// base is a value of a daemon that has nothing to do.
func (b *book) base(value string) float64 {
	f, _ := b.fit("directory", value)
	return f.Intercept
}

// part adds the rows of one cause and returns what it spends.
func (b *book) part(p part) (cpu, mb, bytes float64) {
	f, ok := b.fit(p.series, valueCPU)
	if !ok {
		return 0, 0, 0
	}
	cpu = f.Slope * p.size
	b.add(p.role, valueCPU, budgetCPUPercent, cpu, unitCPU)
	if f, ok = b.fit(p.series, valueRSS); ok {
		mb = max(f.Slope, 0) * p.size
		b.add(p.role, valueRSS, budgetMB, mb, unitMB)
	}
	for _, value := range p.bytes {
		if f, ok = b.fit(p.series, value); ok {
			bytes += max(f.Slope, 0) * p.size * p.ends
		}
	}
	b.add(p.role, "bytes_s", budgetBytes, bytes, unitBytes)
	return cpu, mb, bytes
}

// add appends a row.
func (b *book) add(role, value string, budget, computed float64, unit string) {
	b.rows = append(b.rows, Row{Role: role, Value: value, Budget: budget, Computed: computed, Unit: unit})
}
