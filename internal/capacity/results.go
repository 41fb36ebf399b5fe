package capacity

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Results holds the measured series. It is encoded as JSON in a file of results.
type Results struct {
	Series []Series `json:"series"`
}

// measurements maps the names of the measurements to their methods.
var measurements = map[string]func(*Bench) ([]Series, error){
	"endpoints": (*Bench).Endpoints,
	"list":      (*Bench).List,
	"starts":    (*Bench).Starts,
	"retained":  (*Bench).Retained,
	"waiting":   (*Bench).Waiting,
	"peers":     (*Bench).Peers,
	"tail":      (*Bench).Tail,
	"config":    (*Bench).Config,
	"jobs":      (*Bench).Jobs,
	"failover":  (*Bench).Failover,
	"busy":      (*Bench).BusyFailover,
	"allotment": (*Bench).Allotment,
	"state":     (*Bench).State,
}

// Measurements returns the sorted names of all measurements.
func Measurements() []string { return slices.Sorted(maps.Keys(measurements)) }

// Measure runs one measurement by name.
func (b *Bench) Measure(name string) ([]Series, error) {
	measure, ok := measurements[name]
	if !ok {
		return nil, errors.Errorf("no measurement %q; choose from %v", name, Measurements())
	}
	series, err := measure(b)
	return series, errors.Wrap(err, name)
}

// Merge adds series, replaces those of the same name, and sorts all by name.
func (r *Results) Merge(series []Series) {
	for _, s := range series {
		at := slices.IndexFunc(r.Series, func(old Series) bool { return old.Name == s.Name })
		if at >= 0 {
			r.Series[at] = s
			continue
		}
		r.Series = append(r.Series, s)
	}
	sort.Slice(r.Series, func(i, j int) bool { return r.Series[i].Name < r.Series[j].Name })
}

// series returns the series of a name, or nil.
func (r *Results) series(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return nil
}

// Print writes every series with its fits, then the budget table.
func (r *Results) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range r.Series {
		r.Series[i].print(t)
	}
	r.printBudgets(t)
	return errors.Wrap(t.Flush(), "print")
}

// print writes the points and the fit of each value of a series, one line per
// value.
func (s *Series) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n== %s over %s\n", s.Name, s.X)
	_, _ = fmt.Fprint(w, "value")
	for _, p := range s.Points {
		_, _ = fmt.Fprintf(w, "\t%g", p.X)
	}
	_, _ = fmt.Fprint(w, "\tintercept\tslope\tresidual\tR2\n")
	for _, name := range s.valueNames() {
		_, _ = fmt.Fprint(w, name)
		for _, p := range s.Points {
			_, _ = fmt.Fprintf(w, "\t%.4g", p.Values[name])
		}
		if f, ok := s.Fit(name); ok {
			_, _ = fmt.Fprintf(w, "\t%.4g\t%.4g\t%.1f%%\t%.3f", f.Intercept, f.Slope, f.Residual*percent, f.R2)
		}
		_, _ = fmt.Fprintln(w)
	}
}

// valueNames returns the names of the values that are not zero at every point.
func (s *Series) valueNames() []string {
	names := make(map[string]bool)
	for _, p := range s.Points {
		for name, v := range p.Values {
			if v != 0 {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// printBudgets writes the budgets and the values extrapolated from the slopes.
func (r *Results) printBudgets(w io.Writer) {
	_, _ = fmt.Fprint(w, "\n== budgets at the design size\n")
	for _, row := range r.Budgets() {
		_, _ = fmt.Fprintln(w, row)
	}
}

// String formats the row as docs/CAPACITY.md shows it; a ratio above 1, which
// exceeds the budget, is bold.
func (row Row) String() string {
	mark := ""
	ratio := row.Computed / row.Budget
	if ratio > 1 {
		mark = "**"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s%.2f%s |", row.Role, row.Value, formatFigure(row.Budget), formatFigure(row.Computed), mark, ratio, mark)
}

// formatFigure formats a number with three significant digits and no exponent.
func formatFigure(v float64) string {
	const exponentFrom = 1000
	if v < exponentFrom {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	unit := math.Pow(10, math.Floor(math.Log10(v))-2)
	return strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64)
}
