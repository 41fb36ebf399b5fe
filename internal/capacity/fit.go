// Package capacity measures the control-plane cost of a daemon on this machine
// as a slope over the size of the cell, and extrapolates the slopes to the
// design size.
//
// Daemons run as real processes. The platform and the endpoints are stand-ins
// in the measuring process, so that their processor time is not counted.
package capacity

import "math"

// Point holds the values that were measured at one size.
type Point struct {
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// Series is one measurement repeated over growing sizes.
type Series struct {
	Name string `json:"name"`
	// X describes what the sizes count.
	X      string  `json:"x"`
	Points []Point `json:"points"`
}

// Fit is a straight line fitted to a series by least squares.
type Fit struct {
	Intercept float64
	Slope     float64
	// Residual is the largest distance of a point from the line, as a
	// fraction of the largest absolute value.
	Residual float64
	// R2 is the fraction of the variance that the line explains.
	R2 float64
}

// minFitPoints is the minimum number of points for a fit.
const minFitPoints = 3

// Fit fits a line to one value of the series; ok is false if there are fewer
// than minFitPoints points or all have the same size.
func (s *Series) Fit(value string) (f Fit, ok bool) {
	var xs, ys []float64
	for _, p := range s.Points {
		if y, found := p.Values[value]; found {
			xs, ys = append(xs, p.X), append(ys, y)
		}
	}
	if len(xs) < minFitPoints {
		return Fit{}, false
	}
	return leastSquares(xs, ys)
}

// Interpolate returns a value of the series at x by linear interpolation between
// neighboring points. It suits values that level off; ok is false outside of the
// measured sizes.
func (s *Series) Interpolate(value string, x float64) (y float64, ok bool) {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		ya, foundA := a.Values[value]
		yb, foundB := b.Values[value]
		if !foundA || !foundB || x < a.X || x > b.X || a.X == b.X {
			continue
		}
		return ya + (yb-ya)*(x-a.X)/(b.X-a.X), true
	}
	return 0, false
}

// leastSquares returns the least-squares line; ok is false if all xs are equal.
func leastSquares(xs, ys []float64) (f Fit, ok bool) {
	mx, my := mean(xs), mean(ys)
	var sxx, sxy, syy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
		syy += (ys[i] - my) * (ys[i] - my)
	}
	if sxx == 0 {
		return Fit{}, false
	}
	f.Slope = sxy / sxx
	f.Intercept = my - f.Slope*mx
	f.Residual, f.R2 = f.quality(xs, ys, syy)
	return f, true
}

// quality returns Residual and R2 of the line; syy is the sum of squared
// deviations of ys from their mean.
func (f Fit) quality(xs, ys []float64, syy float64) (residual, r2 float64) {
	var worst, largest, sse float64
	for i := range xs {
		d := ys[i] - f.At(xs[i])
		sse += d * d
		worst = math.Max(worst, math.Abs(d))
		largest = math.Max(largest, math.Abs(ys[i]))
	}
	if largest > 0 {
		residual = worst / largest
	}
	if syy > 0 {
		r2 = 1 - sse/syy
	}
	return residual, r2
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// mean returns the arithmetic mean of v.
func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
