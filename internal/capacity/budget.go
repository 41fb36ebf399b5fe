package capacity

// Row is one line of the table of budgets.
type Row struct {
	Role     string
	Value    string
	Budget   float64
	Computed float64
	Unit     string
}

// Budgets works out the size to design for from the slopes that have been
// measured; rows whose series is missing are left out.
func (r *Results) Budgets() []Row {
	b := &book{results: r}
	b.at("zone holder, idle sessions", "holder-endpoints", designWorkersAZone)
	b.at("zone holder and front door, requests at the peak, holder's part", "holder-starts-idle", designStartsAZone)
	b.at("front door, a quarter of a zone's requests at the peak", "front-door-idle", designStartsAZone/designDaemonsAZone)
	b.at("directory, whole platform list", "directory", designWorkers+designDaemons)
	b.at("heartbeats within a zone", "peers-zone", designDaemonsAZone)
	b.at("heartbeats of holders", "peers-zones", designZones)
	b.at("log tail by relay at 300 appends a second", "tail-relay", budgetAppends)
	b.at("log tail direct at 300 appends a second", "tail-direct", budgetAppends)
	b.value("configuration by relay, all daemons", "config-relay", "max_ms", designDaemons, float64(budgetConfig.Milliseconds()), "ms")
	b.value("configuration direct, all daemons", "config-direct", "max_ms", designDaemons, float64(budgetConfig.Milliseconds()), "ms")
	b.value("first start after the holder's death", "failover", "first_start_s", designWorkersAZone, budgetStart.Seconds(), "s")
	b.value("longest wait through the holder's death", "failover", "max_wait_s", designWorkersAZone, budgetStart.Seconds(), "s")
	return b.rows
}

// book collects rows.
type book struct {
	results *Results
	rows    []Row
}

// at adds the rows of processor time, memory and bytes at a size.
func (b *book) at(role, series string, x float64) {
	b.value(role, series, valueCPU, x, budgetCPUPercent, "% of a core")
	b.value(role, series, valueRSS, x, budgetMB, "MB")
	for _, bytes := range []string{valueEndpoint, valueList, valueLog, valuePeer} {
		b.value(role, series, bytes, x, budgetBytes, "bytes/s")
	}
}

// value adds a row for one value.
func (b *book) value(role, series, value string, x, budget float64, unit string) {
	s := b.results.series(series)
	if s == nil {
		return
	}
	f, ok := s.Fit(value)
	if !ok {
		return
	}
	b.rows = append(b.rows, Row{Role: role, Value: value, Budget: budget, Computed: f.At(x), Unit: unit})
}
