package capacity

import (
	"math"
	"testing"
)

func TestFitIsLeastSquares(t *testing.T) {
	for _, test := range []struct {
		name             string
		ys               []float64
		slope, intercept float64
		straight         bool
	}{
		{"exact", []float64{3, 5, 9, 17}, 2, 1, true},
		{"flat", []float64{4, 4, 4, 4}, 0, 4, true},
		// The normal equations give sxx = 28.75 and sxy = 46.5.
		{"noisy", []float64{0, 3, 3, 12}, 46.5 / 28.75, 4.5 - 3.75*46.5/28.75, false},
	} {
		s := Series{}
		for i, x := range []float64{1, 2, 4, 8} {
			s.Points = append(s.Points, Point{X: x, Values: map[string]float64{"y": test.ys[i]}})
		}
		f, ok := s.Fit("y")
		if !ok || math.Abs(f.Slope-test.slope) > 1e-9 || math.Abs(f.Intercept-test.intercept) > 1e-9 {
			t.Errorf("%s: slope %v, intercept %v, %v; want %v, %v", test.name, f.Slope, f.Intercept, ok, test.slope, test.intercept)
		}
		if straight := f.Residual < 1e-9; straight != test.straight {
			t.Errorf("%s: residual %v", test.name, f.Residual)
		}
	}
}

func TestFitNeedsDifferentSizes(t *testing.T) {
	same := Series{Points: []Point{
		{X: 1, Values: map[string]float64{"y": 1}}, {X: 1, Values: map[string]float64{"y": 2}}, {X: 1, Values: map[string]float64{"y": 3}},
	}}
	if _, ok := same.Fit("y"); ok {
		t.Error("a line through one size")
	}
	same.Points = same.Points[:2]
	same.Points[1].X = 2
	if _, ok := same.Fit("y"); ok {
		t.Error("a line through two points")
	}
	if _, ok := same.Fit("z"); ok {
		t.Error("a line of a value that was not measured")
	}
}

func TestInterpolateFollowsThePoints(t *testing.T) {
	s := Series{}
	for _, p := range [][2]float64{{0, 1}, {10, 5}, {30, 7}} {
		s.Points = append(s.Points, Point{X: p[0], Values: map[string]float64{"v": p[1]}})
	}
	for x, want := range map[float64]float64{0: 1, 5: 3, 10: 5, 20: 6, 30: 7} {
		if got, ok := s.Interpolate("v", x); !ok || got != want {
			t.Errorf("at %v: %v, %v; want %v", x, got, ok, want)
		}
	}
	for _, x := range []float64{-1, 31} {
		if got, ok := s.Interpolate("v", x); ok {
			t.Errorf("at %v, which was not measured: %v", x, got)
		}
	}
	if _, ok := s.Interpolate("other", 5); ok {
		t.Error("a value that no point has")
	}
}
