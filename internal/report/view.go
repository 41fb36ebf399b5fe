package report

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxViewRows bounds the rows of a report.
	maxViewRows = 512
	// worstHours is the number of worst hours that a row lists.
	worstHours = 3
	// plottedRows is the number of rows whose hours are included for plots.
	plottedRows = 24
	// plottedHours is the number of hours of a plot.
	plottedHours = 72
	// maxGaps bounds the gaps listed for a window; the newest are listed.
	maxGaps = 10
)

// View is the report at a point in time.
type View struct {
	GeneratedMS int64 `json:"generated_ms"`
	// ConfigVersion is the version of the configuration whose objectives are
	// used.
	ConfigVersion uint64         `json:"config_version"`
	Coverage      []ZoneCoverage `json:"coverage"`
	// Rows are the teams and queues, the most overspent budget first; Omitted
	// is the number of further ones.
	Rows    []Row `json:"rows"`
	Omitted int   `json:"omitted,omitempty"`
}

// ZoneCoverage says for what part of each window there is data of a zone.
// Missing data is left out of all figures and never interpolated.
type ZoneCoverage struct {
	Zone    string           `json:"zone"`
	Windows []WindowCoverage `json:"windows"`
}

// WindowCoverage is the part of one window that has data.
type WindowCoverage struct {
	Window string `json:"window"`
	// Covered is a fraction from 0 to 1.
	Covered float64 `json:"covered"`
	// Gaps lists the newest parts without data; Missing is the number of all
	// such parts.
	Gaps    []Span `json:"gaps,omitempty"`
	Missing int    `json:"missing"`
}

// Row is the report on one team and queue over all zones.
type Row struct {
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// Configured is false if the queue is no longer in the configuration; then
	// there is no target and no burn rate.
	Configured bool  `json:"configured"`
	WithinMS   int64 `json:"within_ms,omitempty"`
	// Target is the fraction of good events.
	Target     float64     `json:"target,omitempty"`
	Indicators []Indicator `json:"indicators"`
	// Lost counts lost tasks of durable jobs in the budget's period.
	Lost      uint64 `json:"lost"`
	LostAlert Alert  `json:"lost_alert,omitempty"`
	// P50MS and P99MS are quantiles of the waiting times of the last day,
	// milliseconds; Waits is the number of starts that they are computed from.
	P50MS int64       `json:"p50_ms"`
	P99MS int64       `json:"p99_ms"`
	Waits int64       `json:"waits"`
	Hours []HourPoint `json:"hours,omitempty"`
}

// Indicator is one service-level indicator of a row: "start" or "answer".
type Indicator struct {
	Name    string       `json:"name"`
	Windows []WindowBurn `json:"windows"`
	// BudgetLeft is the fraction of the error budget that is left, over the
	// part of the budget's period that has data; negative if overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// Causes lists the bad events of the budget's period by cause.
	Causes []CauseCount `json:"causes,omitempty"`
	Worst  []HourPoint  `json:"worst,omitempty"`
}

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window string `json:"window"`
	Ratio
	Burn float64 `json:"burn"`
	// Skipped says that the window leaves out summaries because their period is
	// longer than the window.
	Skipped bool `json:"skipped,omitempty"`
}

// CauseCount is the number of bad events with one cause.
type CauseCount struct {
	Cause string `json:"cause"`
	Bad   uint64 `json:"bad"`
}

// HourPoint holds the events of one hour.
type HourPoint struct {
	StartMS int64 `json:"start_ms"`
	Ratio
	// Covered is the fraction of the hour that has data, of the zone for which
	// it is lowest.
	Covered float64 `json:"covered"`
}

// aggregate holds what Build aggregates about one series.
type aggregate struct {
	key     Key
	start   map[string]Ratio
	answer  map[string]Ratio
	period  Counts
	lost    map[string]uint64
	hours   []hourCounts
	waiting *hdrhistogram.PackedHistogram
}

// hourCounts holds the counts of one hour.
type hourCounts struct {
	startMS int64
	counts  Counts
}

// Build computes the report at the time now. zones lists the configured zones, so
// that the coverage includes zones without any data.
func (s *Store) Build(now time.Time, version uint64, zones []string, objectives Objectives) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowMS := unixMS(now)
	view := &View{GeneratedMS: nowMS, ConfigVersion: version, Coverage: s.coverage(nowMS, zones), Rows: []Row{}}
	aggregates, skipped := s.aggregateWindows(nowMS)
	for _, agg := range aggregates {
		view.Rows = append(view.Rows, agg.row(objectives, skipped))
	}
	slices.SortFunc(view.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.minBudgetLeft(), b.minBudgetLeft()), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue))
	})
	view.Omitted = max(0, len(view.Rows)-maxViewRows)
	view.Rows = view.Rows[:len(view.Rows)-view.Omitted]
	s.addHours(view, aggregates, zones)
	return view
}

// addHours adds the hours to plot to the first rows, and sets Covered of all
// hours in the report.
func (s *Store) addHours(view *View, aggregates map[seriesID]*aggregate, zones []string) {
	covered := s.hourCoverage(zones)
	for i := range view.Rows {
		row := &view.Rows[i]
		if i < plottedRows {
			row.Hours = aggregates[s.keyTable.ids[Key{row.Team, row.Queue}]].plot(view.GeneratedMS)
		}
		covered(row.Hours)
		for _, indicator := range row.Indicators {
			covered(indicator.Worst)
		}
	}
}

// minBudgetLeft returns the smallest BudgetLeft of the row's indicators.
func (r *Row) minBudgetLeft() float64 {
	least := math.Inf(1)
	for _, i := range r.Indicators {
		least = min(least, i.BudgetLeft)
	}
	return least
}

// coverage returns for every zone the part of each window that has data.
func (s *Store) coverage(nowMS int64, zones []string) []ZoneCoverage {
	out := []ZoneCoverage{}
	for _, zone := range s.allZones(zones) {
		c := ZoneCoverage{Zone: zone}
		for _, w := range windows {
			span := Span{nowMS - w.length.Milliseconds(), nowMS}
			gaps := s.zones[zone].gaps(span)
			c.Windows = append(c.Windows, WindowCoverage{
				Window:  w.name,
				Covered: s.zones[zone].fraction(span),
				Gaps:    gaps[max(0, len(gaps)-maxGaps):],
				Missing: len(gaps),
			})
		}
		out = append(out, c)
	}
	return out
}

// allZones returns the configured zones and those with data, sorted by name.
func (s *Store) allZones(configured []string) []string {
	out := slices.Clone(configured)
	for zone := range s.zones {
		out = append(out, zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hourCoverage returns a function that sets Covered of the given hours. It computes
// each hour only once.
func (s *Store) hourCoverage(zones []string) func(hours []HourPoint) {
	all, known := s.allZones(zones), make(map[int64]float64)
	return func(hours []HourPoint) {
		for i := range hours {
			start := hours[i].StartMS
			if _, ok := known[start]; !ok {
				known[start] = 1
				for _, zone := range all {
					known[start] = min(known[start], s.zones[zone].fraction(Span{start, start + time.Hour.Milliseconds()}))
				}
			}
			hours[i].Covered = known[start]
		}
	}
}

// aggregateWindows aggregates the buckets of every window by series. skipped holds
// the windows that leave out buckets with summaries of longer periods.
func (s *Store) aggregateWindows(nowMS int64) (aggregates map[seriesID]*aggregate, skipped map[string]bool) {
	aggregates, skipped = make(map[seriesID]*aggregate), make(map[string]bool)
	for _, w := range windows {
		from := s.fine
		if w.length > fineRetention {
			from = s.hours
		}
		for _, b := range from.bucketsIn(nowMS, w.length.Milliseconds()) {
			if b.longestMS > w.length.Milliseconds() {
				skipped[w.name] = true
				continue
			}
			for i := range b.tallies {
				s.aggregateFor(aggregates, b.tallies[i].id).add(w, b.startMS, &b.tallies[i].counts)
			}
		}
	}
	for i := range s.waits {
		if s.waits[i].startMS <= nowMS-waitRetention.Milliseconds() {
			continue
		}
		for id, waits := range s.waits[i].waits {
			s.aggregateFor(aggregates, id).waiting.Merge(waits)
		}
	}
	return aggregates, skipped
}

// aggregateFor returns the aggregate of a series, creating it if necessary.
func (s *Store) aggregateFor(aggregates map[seriesID]*aggregate, id seriesID) *aggregate {
	if aggregates[id] == nil {
		aggregates[id] = &aggregate{
			key:     s.keyTable.keys[id],
			start:   make(map[string]Ratio),
			answer:  make(map[string]Ratio),
			lost:    make(map[string]uint64),
			waiting: newWaits(),
		}
	}
	return aggregates[id]
}

// add adds the counts of one bucket to a window.
func (agg *aggregate) add(w window, startMS int64, counts *Counts) {
	start, answer := agg.start[w.name], agg.answer[w.name]
	start.add(counts.Start())
	answer.add(counts.Answer())
	agg.start[w.name], agg.answer[w.name] = start, answer
	agg.lost[w.name] += uint64(counts.Lost)
	if w.length == BudgetPeriod {
		agg.period.Add(counts)
		agg.hours = append(agg.hours, hourCounts{startMS, *counts})
	}
}

// plot returns the starts of each of the last plottedHours hours.
func (agg *aggregate) plot(nowMS int64) []HourPoint {
	width := time.Hour.Milliseconds()
	out := make([]HourPoint, plottedHours)
	first := nowMS - nowMS%width - (plottedHours-1)*width
	for i := range out {
		out[i].StartMS = first + int64(i)*width
	}
	for i := range agg.hours {
		if h := &agg.hours[i]; h.startMS >= first {
			out[(h.startMS-first)/width].Ratio = h.counts.Start()
		}
	}
	return out
}
