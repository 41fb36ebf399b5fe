package report

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

//go:embed page.html.tmpl
var pageText string

// page is the template of the HTML page. html/template escapes every value for
// its context.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"time":    formatTime,
	"percent": formatPercent,
	"burn":    formatBurn,
	"millis":  formatMillis,
	"causes":  formatCauses,
	"worst":   formatWorst,
	"plot":    newPlot,
	"windows": func() []window { return windows },
	"name":    func(w window) string { return w.name },
}).Parse(pageText))

// WriteHTML writes the report as a self-contained HTML page without scripts.
func WriteHTML(w io.Writer, v *View) error {
	return errors.Wrap(page.Execute(w, v), "write the report as HTML")
}

// Dimensions of a plot in pixels.
const (
	barWidth   = 8
	plotHeight = 60
)

// Plot is a bar chart of the bad starts of a row by hour.
type Plot struct {
	Width, Height int
	// PeakPercent is the formatted fraction of bad starts at the top of the
	// plot.
	PeakPercent string
	Bars        []Bar
}

// Bar is a bar of a plot. An empty bar marks an hour for which data of at least
// one zone is missing, completely or in part.
type Bar struct {
	X, Y, Width, Height int
	Empty               bool
	Title               string
}

// newPlot returns the plot of the hours of a row. The height of a bar is the
// fraction of bad events relative to the highest one:
//
//	height = plotHeight * (bad / total) / peak
func newPlot(hours []HourPoint) Plot {
	peak := 0.0
	for _, h := range hours {
		peak = max(peak, badFraction(h.Ratio))
	}
	out := Plot{Width: len(hours) * barWidth, Height: plotHeight, PeakPercent: formatPercent(peak)}
	for i, h := range hours {
		height := 0
		if peak > 0 {
			height = int(plotHeight * badFraction(h.Ratio) / peak)
		}
		title := fmt.Sprintf("%s: %d of %d bad, %s of the hour covered", formatTime(h.StartMS), h.Bad, h.Total, formatPercent(h.Covered))
		if h.Covered < 1 {
			out.Bars = append(out.Bars, Bar{X: i * barWidth, Width: barWidth, Height: plotHeight, Empty: true, Title: title})
		}
		out.Bars = append(out.Bars, Bar{X: i * barWidth, Y: plotHeight - height, Width: barWidth - 1, Height: height, Title: title})
	}
	return out
}

// badFraction returns the fraction of bad events, 0 without events.
func badFraction(r Ratio) float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Bad) / float64(r.Total)
}

// formatTime formats Unix milliseconds in UTC.
func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05")
}

// formatPercent formats a fraction as a percentage.
func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.4g%%", 100*fraction)
}

// formatBurn formats the burn rate of a window, or says why there is none.
func formatBurn(w WindowBurn) string {
	switch {
	case w.Skipped:
		return "period too long"
	case w.Total == 0:
		return "no events"
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

// formatMillis formats milliseconds as a duration.
func formatMillis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// formatCauses formats causes with their counts.
func formatCauses(causes []CauseCount) string {
	parts := make([]string, len(causes))
	for i, c := range causes {
		parts[i] = fmt.Sprintf("%s %d", c.Cause, c.Bad)
	}
	return strings.Join(parts, ", ")
}

// formatWorst formats hours with their bad and total events.
func formatWorst(hours []HourPoint) string {
	parts := make([]string, len(hours))
	for i, h := range hours {
		parts[i] = fmt.Sprintf("%s %d/%d", time.UnixMilli(h.StartMS).UTC().Format("01-02 15h"), h.Bad, h.Total)
	}
	return strings.Join(parts, ", ")
}
