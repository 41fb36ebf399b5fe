package report

import (
	"cmp"
	"slices"
)

const (
	// maxSpans bounds the covered spans of a zone; the oldest are dropped.
	maxSpans = 1024
	// maxZones bounds the zones whose coverage is kept.
	maxZones = 256
)

// Span is a time interval in Unix milliseconds, excluding its end.
type Span struct {
	FromMS int64 `json:"from_ms"`
	ToMS   int64 `json:"to_ms"`
}

// coverage lists the times for which there are summaries of a zone, as sorted
// spans that neither overlap nor touch.
type coverage []Span

// add returns the coverage with a span added and without the spans that ended by
// the horizon.
func (c coverage) add(s Span, horizonMS int64) coverage {
	out := c[:0:0]
	for _, old := range c {
		switch {
		case old.ToMS <= horizonMS:
		case old.ToMS < s.FromMS || old.FromMS > s.ToMS:
			out = append(out, old)
		default:
			s = Span{min(s.FromMS, old.FromMS), max(s.ToMS, old.ToMS)}
		}
	}
	out = append(out, s)
	slices.SortFunc(out, func(a, b Span) int { return cmp.Compare(a.FromMS, b.FromMS) })
	return out[max(0, len(out)-maxSpans):]
}

// gaps returns the parts of a window that are not covered, the oldest first.
func (c coverage) gaps(window Span) []Span {
	var out []Span
	at := window.FromMS
	for _, s := range c {
		if s.ToMS <= at || s.FromMS >= window.ToMS {
			continue
		}
		if s.FromMS > at {
			out = append(out, Span{at, s.FromMS})
		}
		at = s.ToMS
	}
	if at < window.ToMS {
		out = append(out, Span{at, window.ToMS})
	}
	return out
}

// fraction returns the fraction of a window that is covered:
//
//	(length of the window - length of all gaps) / length of the window
func (c coverage) fraction(window Span) float64 {
	missing := int64(0)
	for _, g := range c.gaps(window) {
		missing += g.ToMS - g.FromMS
	}
	length := window.ToMS - window.FromMS
	return float64(length-missing) / float64(length)
}
