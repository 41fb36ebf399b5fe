package report

import (
	"cmp"
	"slices"
)

// Names of the service-level indicators.
const (
	IndicatorStart  = "start"
	IndicatorAnswer = "answer"
)

// row computes the row of a series. skipped holds the windows that lack summaries
// with longer periods.
func (agg *aggregate) row(objectives Objectives, skipped map[string]bool) Row {
	objective, configured := objectives(agg.key.Queue)
	row := Row{
		Team:       agg.key.Team,
		Queue:      agg.key.Queue,
		Configured: configured,
		WithinMS:   objective.Within.Milliseconds(),
		Target:     objective.Target,
		Lost:       agg.lost["30d"],
		P50MS:      agg.waiting.ValueAtPercentile(50),
		P99MS:      agg.waiting.ValueAtPercentile(99),
		Waits:      agg.waiting.TotalCount(),
	}
	if agg.lost["3d"] > 0 {
		row.LostAlert = AlertLostWork
	}
	row.Indicators = []Indicator{
		agg.indicator(IndicatorStart, agg.start, agg.period.LateBy, (*Counts).Start, row),
		agg.indicator(IndicatorAnswer, agg.answer, agg.period.FailedBy, (*Counts).Answer, row),
	}
	for i := range row.Indicators {
		for j := range row.Indicators[i].Windows {
			w := &row.Indicators[i].Windows[j]
			w.Skipped = skipped[w.Window]
		}
	}
	return row
}

// indicator computes one indicator of a row from its ratios by window, its bad
// events by cause, and ratio, which computes it for the counts of an hour.
func (agg *aggregate) indicator(name string, ratios map[string]Ratio, causes [causeCount]uint32, ratio func(*Counts) Ratio, row Row) Indicator {
	out := Indicator{Name: name, BudgetLeft: 1, Causes: rankCauses(causes), Worst: agg.worst(ratio)}
	for _, w := range windows {
		burn := WindowBurn{Window: w.name, Ratio: ratios[w.name]}
		if row.Configured {
			burn.Burn = Burn(burn.Ratio, row.Target)
		}
		out.Windows = append(out.Windows, burn)
	}
	if row.Configured {
		out.BudgetLeft = BudgetLeft(ratios["30d"], row.Target)
		out.Alert = evaluateAlert(ratios, row.Target)
	}
	return out
}

// rankCauses returns the causes with bad events, the most frequent first.
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

// worst returns the hours with the most bad events; among equal ones the newest
// come first.
func (agg *aggregate) worst(ratio func(*Counts) Ratio) []HourPoint {
	var out []HourPoint
	for i := range agg.hours {
		if r := ratio(&agg.hours[i].counts); r.Bad > 0 {
			out = append(out, HourPoint{StartMS: agg.hours[i].startMS, Ratio: r})
		}
	}
	slices.SortFunc(out, func(a, b HourPoint) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(b.StartMS, a.StartMS))
	})
	return out[:min(len(out), worstHours)]
}
