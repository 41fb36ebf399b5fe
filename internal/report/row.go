package report

import (
	"cmp"
	"slices"
)

// Names of the indicators.
const (
	IndicatorStart  = "start"
	IndicatorAnswer = "answer"
)

// row computes the report on a series.
func (p *sample) row(objectives Objectives, skipped map[string]bool) Row {
	objective, configured := objectives(p.key.Queue)
	row := Row{
		Team:       p.key.Team,
		Queue:      p.key.Queue,
		Configured: configured,
		WithinMS:   objective.Within.Milliseconds(),
		Target:     objective.Target,
		Lost:       p.lost["30d"],
		P50MS:      p.waiting.ValueAtPercentile(50),
		P99MS:      p.waiting.ValueAtPercentile(99),
		Waits:      p.waiting.TotalCount(),
	}
	if p.lost["3d"] > 0 {
		row.LostAlert = AlertLostWork
	}
	row.Indicators = []Indicator{
		p.indicator(IndicatorStart, p.start, p.period.LateBy, (*Counts).Start, row),
		p.indicator(IndicatorAnswer, p.answer, p.period.FailedBy, (*Counts).Answer, row),
	}
	for i := range row.Indicators {
		for j := range row.Indicators[i].Windows {
			w := &row.Indicators[i].Windows[j]
			w.Skipped = skipped[w.Window]
		}
	}
	return row
}

// indicator computes one indicator of a row.
func (p *sample) indicator(name string, by map[string]Ratio, causes [causeCount]uint32, ratio func(*Counts) Ratio, row Row) Indicator {
	out := Indicator{Name: name, BudgetLeft: 1, Causes: rankCauses(causes), Worst: p.worst(ratio)}
	for _, w := range windows {
		burn := WindowBurn{Window: w.name, Ratio: by[w.name]}
		if row.Configured {
			burn.Burn = Burn(burn.Ratio, row.Target)
		}
		out.Windows = append(out.Windows, burn)
	}
	if row.Configured {
		out.BudgetLeft = BudgetLeft(by["30d"], row.Target)
		out.Alert = alertOf(by, row.Target)
	}
	return out
}

// rankCauses lists the causes with bad events, the most first.
func rankCauses(by [causeCount]uint32) []CauseCount {
	var out []CauseCount
	for i, bad := range by {
		if bad > 0 {
			out = append(out, CauseCount{Cause(i).String(), uint64(bad)})
		}
	}
	slices.SortStableFunc(out, func(a, b CauseCount) int { return cmp.Compare(b.Bad, a.Bad) })
	return out
}

// worst lists the hours with the most bad events, the newest of equals first.
func (p *sample) worst(ratio func(*Counts) Ratio) []HourPoint {
	var out []HourPoint
	for i := range p.hours {
		if r := ratio(&p.hours[i].counts); r.Bad > 0 {
			out = append(out, HourPoint{StartMS: p.hours[i].startMS, Ratio: r})
		}
	}
	slices.SortFunc(out, func(a, b HourPoint) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(b.StartMS, a.StartMS))
	})
	return out[:min(len(out), worstHours)]
}
