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
	// plottedRows is the number of rows that come with their hours.
	plottedRows = 24
	// plottedHours is the number of hours of a plot.
	plottedHours = 72
	// maxGaps bounds the gaps listed for a window; the newest are listed.
	maxGaps = 10
)

// View is the report at an instant.
type View struct {
	GeneratedMS int64 `json:"generated_ms"`
	// ConfigVersion is the configuration whose objectives are used.
	ConfigVersion uint64         `json:"config_version"`
	Coverage      []ZoneCoverage `json:"coverage"`
	// Rows are the teams and queues, the most overspent budget first; Omitted
	// is the number of further ones.
	Rows    []Row `json:"rows"`
	Omitted int   `json:"omitted,omitempty"`
}

// ZoneCoverage says for what part of each window there is data of a zone.
// What is missing is left out of all figures, never filled in.
type ZoneCoverage struct {
	Zone    string           `json:"zone"`
	Windows []WindowCoverage `json:"windows"`
}

// WindowCoverage is the part of one window that has data.
type WindowCoverage struct {
	Window string `json:"window"`
	// Covered is a fraction from 0 to 1.
	Covered float64 `json:"covered"`
	// Gaps are the newest parts without data, Missing the number of all.
	Gaps    []Span `json:"gaps,omitempty"`
	Missing int    `json:"missing"`
}

// Row is the report on one team and queue over all zones.
type Row struct {
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// Configured is false if the queue is no longer in the configuration;
	// there is no target then, and no burn.
	Configured bool  `json:"configured"`
	WithinMS   int64 `json:"within_ms,omitempty"`
	// Target is the fraction of good events.
	Target     float64     `json:"target,omitempty"`
	Indicators []Indicator `json:"indicators"`
	// Lost counts lost tasks of durable jobs in the budget's period.
	Lost      uint64 `json:"lost"`
	LostAlert Alert  `json:"lost_alert,omitempty"`
	// P50MS and P99MS are waiting times over the last day, milliseconds;
	// Waits is the number of starts they rest on.
	P50MS int64       `json:"p50_ms"`
	P99MS int64       `json:"p99_ms"`
	Waits int64       `json:"waits"`
	Hours []HourPoint `json:"hours,omitempty"`
}

// Indicator is one service-level indicator of a row: "start" or "answer".
type Indicator struct {
	Name    string       `json:"name"`
	Windows []WindowBurn `json:"windows"`
	// BudgetLeft is the fraction of the budget that is left over that part
	// of the budget's period that has data; negative when overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// Causes are the bad events of the budget's period by cause.
	Causes []CauseCount `json:"causes,omitempty"`
	Worst  []HourPoint  `json:"worst,omitempty"`
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Window string `json:"window"`
	Ratio
	Burn float64 `json:"burn"`
	// Skipped says that there are summaries whose period is longer than the
	// window, which therefore are not in it.
	Skipped bool `json:"skipped,omitempty"`
}

// CauseCount is how many bad events a cause is responsible for.
type CauseCount struct {
	Cause string `json:"cause"`
	Bad   uint64 `json:"bad"`
}

// HourPoint is the events of one hour.
type HourPoint struct {
	StartMS int64 `json:"start_ms"`
	Ratio
	// Covered is the least part of the hour that any zone has data for.
	Covered float64 `json:"covered"`
}

// sample is what Build gathers about one series.
type sample struct {
	key     Key
	start   map[string]Ratio
	answer  map[string]Ratio
	period  Counts
	lost    map[string]uint64
	hours   []hourCounts
	waiting *hdrhistogram.PackedHistogram
}

// hourCounts are the counts of one hour.
type hourCounts struct {
	startMS int64
	counts  Counts
}

// Build computes the report at the time now. Zones lists the configured zones,
// so that one without any data is named as well.
func (s *Store) Build(now time.Time, version uint64, zones []string, objectives Objectives) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowMS := unixMS(now)
	view := &View{GeneratedMS: nowMS, ConfigVersion: version, Coverage: s.coverage(nowMS, zones), Rows: []Row{}}
	samples, skipped := s.gather(nowMS)
	for _, sample := range samples {
		view.Rows = append(view.Rows, sample.row(objectives, skipped))
	}
	slices.SortFunc(view.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.least(), b.least()), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue))
	})
	view.Omitted = max(0, len(view.Rows)-maxViewRows)
	view.Rows = view.Rows[:len(view.Rows)-view.Omitted]
	s.addHours(view, samples, zones)
	return view
}

// addHours adds the hours of the first rows, and to all hours what part of
// them has data.
func (s *Store) addHours(view *View, samples map[seriesID]*sample, zones []string) {
	covered := s.hourCover(zones)
	for i := range view.Rows {
		row := &view.Rows[i]
		if i < plottedRows {
			row.Hours = samples[s.names.ids[Key{row.Team, row.Queue}]].plot(view.GeneratedMS)
		}
		covered(row.Hours)
		for _, indicator := range row.Indicators {
			covered(indicator.Worst)
		}
	}
}

// least is the smallest budget left of a row.
func (r *Row) least() float64 {
	least := math.Inf(1)
	for _, i := range r.Indicators {
		least = min(least, i.BudgetLeft)
	}
	return least
}

// coverage lists for every zone what part of each window has data.
func (s *Store) coverage(nowMS int64, zones []string) []ZoneCoverage {
	out := []ZoneCoverage{}
	for _, zone := range s.allZones(zones) {
		c := ZoneCoverage{Zone: zone}
		for _, w := range windows {
			span := Span{nowMS - w.length.Milliseconds(), nowMS}
			gaps := s.zones[zone].gaps(span)
			c.Windows = append(c.Windows, WindowCoverage{
				Window:  w.name,
				Covered: s.zones[zone].share(span),
				Gaps:    gaps[max(0, len(gaps)-maxGaps):],
				Missing: len(gaps),
			})
		}
		out = append(out, c)
	}
	return out
}

// allZones lists the configured zones and those with data.
func (s *Store) allZones(configured []string) []string {
	out := slices.Clone(configured)
	for zone := range s.zones {
		out = append(out, zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hourCover returns a function that sets what part of each hour every zone has
// data for. It computes each hour once.
func (s *Store) hourCover(zones []string) func(hours []HourPoint) {
	all, known := s.allZones(zones), make(map[int64]float64)
	return func(hours []HourPoint) {
		for i := range hours {
			start := hours[i].StartMS
			if _, ok := known[start]; !ok {
				known[start] = 1
				for _, zone := range all {
					known[start] = min(known[start], s.zones[zone].share(Span{start, start + time.Hour.Milliseconds()}))
				}
			}
			hours[i].Covered = known[start]
		}
	}
}

// gather adds up the buckets of every window by series. skipped tells the
// windows that are shorter than the period of some summaries.
func (s *Store) gather(nowMS int64) (samples map[seriesID]*sample, skipped map[string]bool) {
	samples, skipped = make(map[seriesID]*sample), make(map[string]bool)
	for _, w := range windows {
		from := s.fine
		if w.length > fineReach {
			from = s.hours
		}
		for _, b := range from.within(nowMS, w.length.Milliseconds()) {
			if b.longestMS > w.length.Milliseconds() {
				skipped[w.name] = true
				continue
			}
			for i := range b.tallies {
				s.sample(samples, b.tallies[i].id).add(w, b.startMS, &b.tallies[i].counts)
			}
		}
	}
	for i := range s.waits {
		if s.waits[i].startMS <= nowMS-waitReach.Milliseconds() {
			continue
		}
		for id, waits := range s.waits[i].waits {
			s.sample(samples, id).waiting.Merge(waits)
		}
	}
	return samples, skipped
}

// sample returns the sample of a series and makes it if there is none.
func (s *Store) sample(samples map[seriesID]*sample, id seriesID) *sample {
	if samples[id] == nil {
		samples[id] = &sample{
			key:     s.names.keys[id],
			start:   make(map[string]Ratio),
			answer:  make(map[string]Ratio),
			lost:    make(map[string]uint64),
			waiting: newWaits(),
		}
	}
	return samples[id]
}

// add adds the counts of one bucket to a window.
func (p *sample) add(w window, startMS int64, counts *Counts) {
	start, answer := p.start[w.name], p.answer[w.name]
	start.add(counts.Start())
	answer.add(counts.Answer())
	p.start[w.name], p.answer[w.name] = start, answer
	p.lost[w.name] += uint64(counts.Lost)
	if w.length == BudgetPeriod {
		p.period.Add(counts)
		p.hours = append(p.hours, hourCounts{startMS, *counts})
	}
}

// plot returns the starts of each of the last hours.
func (p *sample) plot(nowMS int64) []HourPoint {
	width := time.Hour.Milliseconds()
	out := make([]HourPoint, plottedHours)
	first := nowMS - nowMS%width - (plottedHours-1)*width
	for i := range out {
		out[i].StartMS = first + int64(i)*width
	}
	for i := range p.hours {
		if h := &p.hours[i]; h.startMS >= first {
			out[(h.startMS-first)/width].Ratio = h.counts.Start()
		}
	}
	return out
}
