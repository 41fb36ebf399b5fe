package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14 * vg.Millimeter / 4
)

// plot writes a grouped bar chart per measure to dir.
func (t *table) plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the plot directory")
	}
	for _, m := range measures() {
		if err := t.plotMeasure(m, dir); err != nil {
			return errors.Wrapf(err, "plot %s", m.name)
		}
	}
	return nil
}

func (t *table) plotMeasure(m measure, dir string) error {
	p := plot.New()
	p.Title.Text = m.name + " (less is better; no bar where not measured)"
	p.Y.Min = 0
	p.Legend.Top = true
	for j, c := range t.policies {
		values := make(plotter.Values, len(t.rows))
		for i := range t.rows {
			if x := m.value(&t.rows[i][j]); !math.IsNaN(x) {
				values[i] = x
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(j)
		bars.Offset = vg.Length(float64(j)-float64(len(t.policies)-1)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(c.name, bars)
	}
	p.NominalX(t.names...)
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "policy-"+strings.ReplaceAll(m.name, " ", "-")+".svg"))
}
