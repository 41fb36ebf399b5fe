package report

import (
	"math"
	"testing"
)

func TestBurn(t *testing.T) {
	for name, c := range map[string]struct {
		ratio      Ratio
		target     float64
		burn, left float64
	}{
		"no events":        {Ratio{}, 0.99, 0, 1},
		"no bad events":    {Ratio{0, 1000}, 0.99, 0, 1},
		"half the budget":  {Ratio{5, 1000}, 0.99, 0.5, 0.5},
		"the whole budget": {Ratio{10, 1000}, 0.99, 1, 0},
		"overspent":        {Ratio{144, 1000}, 0.99, 14.4, -13.4},
		"all events bad":   {Ratio{7, 7}, 0.9, 10, -9},
		"target of 1":      {Ratio{1, 1000}, 1, noBudgetBurn, 1 - noBudgetBurn},
	} {
		if got := Burn(c.ratio, c.target); math.Abs(got-c.burn) > 1e-9 {
			t.Errorf("%s: burn %v, want %v", name, got, c.burn)
		}
		if got := BudgetLeft(c.ratio, c.target); math.Abs(got-c.left) > 1e-9 {
			t.Errorf("%s: budget left %v, want %v", name, got, c.left)
		}
	}
}

func TestAlertNeedsBothWindows(t *testing.T) {
	// At a target of 0.99 the burn rates of these are 15, 2 and 0.
	fast, slow, none := Ratio{15, 100}, Ratio{2, 100}, Ratio{0, 100}
	for name, c := range map[string]struct {
		ratios map[string]Ratio
		want   Alert
	}{
		"no bad events":          {map[string]Ratio{"5m": none, "1h": none, "6h": none, "3d": none}, NoAlert},
		"fast":                   {map[string]Ratio{"5m": fast, "1h": fast, "6h": fast, "3d": slow}, AlertFastBurn},
		"ended 5 minutes ago":    {map[string]Ratio{"5m": none, "1h": fast, "6h": none, "3d": none}, NoAlert},
		"begun 5 minutes ago":    {map[string]Ratio{"5m": fast, "1h": slow, "6h": none, "3d": none}, NoAlert},
		"slow":                   {map[string]Ratio{"5m": none, "1h": none, "6h": slow, "3d": {20, 1000}}, AlertSlowBurn},
		"slow, ended 6h ago":     {map[string]Ratio{"6h": none, "3d": {20, 1000}}, NoAlert},
		"too few bad events":     {map[string]Ratio{"5m": {4, 4}, "1h": {4, 4}, "6h": {4, 4}, "3d": {4, 4}}, NoAlert},
		"just enough bad events": {map[string]Ratio{"5m": {5, 5}, "1h": {5, 5}}, AlertFastBurn},
	} {
		if got := evaluateAlert(c.ratios, 0.99); got != c.want {
			t.Errorf("%s: alert %q, want %q", name, got, c.want)
		}
	}
}

func TestCoverageGaps(t *testing.T) {
	var c coverage
	for _, s := range []Span{{100, 200}, {300, 400}, {200, 250}, {390, 500}} {
		c = c.add(s, 0)
	}
	if len(c) != 2 {
		t.Errorf("spans %v, want two", c)
	}
	for name, w := range map[string]struct {
		window Span
		share  float64
		gaps   []Span
	}{
		"inside":        {Span{120, 240}, 1, nil},
		"one gap":       {Span{100, 400}, 5.0 / 6, []Span{{250, 300}}},
		"on both sides": {Span{0, 600}, 350.0 / 600, []Span{{0, 100}, {250, 300}, {500, 600}}},
		"no data":       {Span{600, 700}, 0, []Span{{600, 700}}},
	} {
		gaps := c.gaps(w.window)
		if len(gaps) != len(w.gaps) {
			t.Errorf("%s: gaps %v, want %v", name, gaps, w.gaps)
			continue
		}
		for i := range gaps {
			if gaps[i] != w.gaps[i] {
				t.Errorf("%s: gaps %v, want %v", name, gaps, w.gaps)
			}
		}
		if got := c.fraction(w.window); math.Abs(got-w.share) > 1e-9 {
			t.Errorf("%s: covered %v, want %v", name, got, w.share)
		}
	}
}
