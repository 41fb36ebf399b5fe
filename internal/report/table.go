package report

import "strconv"

// TableHeader names the columns of TableRows.
var TableHeader = []string{"TEAM", "QUEUE", "INDICATOR", "5M", "1H", "6H", "3D", "BUDGET LEFT", "ALERT", "CAUSES", "WORST HOURS", "P99", "LOST"}

// TableRows returns the report as rows of a text table, one per indicator.
func (v *View) TableRows() [][]string {
	var out [][]string
	for i := range v.Rows {
		row := &v.Rows[i]
		for _, indicator := range row.Indicators {
			out = append(out, row.cells(indicator))
		}
	}
	return out
}

// cells returns the columns of one indicator of the row.
func (r *Row) cells(i Indicator) []string {
	out := []string{r.Team, r.Queue, i.Name}
	for _, w := range i.Windows {
		if w.Window != "30d" {
			out = append(out, formatBurn(w))
		}
	}
	left, p99 := "not configured", "-"
	if r.Configured {
		left = formatPercent(i.BudgetLeft)
	}
	if r.Waits > 0 {
		p99 = formatMillis(r.P99MS)
	}
	return append(out, left, string(i.Alert), formatCauses(i.Causes), formatWorst(i.Worst), p99, strconv.FormatUint(r.Lost, 10))
}

// CoverageHeader names the columns of CoverageRows.
var CoverageHeader = []string{"ZONE", "5M", "1H", "6H", "3D", "30D", "NEWEST GAP (UTC)"}

// CoverageRows returns for each zone the part of each window that has data, as
// rows of a text table.
func (v *View) CoverageRows() [][]string {
	var out [][]string
	for _, c := range v.Coverage {
		row, gap := []string{c.Zone}, ""
		for _, w := range c.Windows {
			row = append(row, formatPercent(w.Covered))
			if n := len(w.Gaps); n > 0 {
				gap = formatTime(w.Gaps[n-1].FromMS) + " to " + formatTime(w.Gaps[n-1].ToMS)
			}
		}
		out = append(out, append(row, gap))
	}
	return out
}
