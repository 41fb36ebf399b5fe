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
		"no events":              {Ratio{}, 0.99, 0, 1},
		"no bad events":          {Ratio{0, 1000}, 0.99, 0, 1},
		"half the budget":        {Ratio{5, 1000}, 0.99, 0.5, 0.5},
		"the whole budget":       {Ratio{10, 1000}, 0.99, 1, 0},
		"overspent":              {Ratio{144, 1000}, 0.99, 14.4, -13.4},
		"everything bad":         {Ratio{7, 7}, 0.9, 10, -9},
		"a target without spare": {Ratio{1, 1000}, 1, noBudgetBurn, 1 - noBudgetBurn},
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
	hot, warm, cold := Ratio{15, 100}, Ratio{2, 100}, Ratio{0, 100}
	for name, c := range map[string]struct {
		by   map[string]Ratio
		want Alert
	}{
		"quiet":                  {map[string]Ratio{"5m": cold, "1h": cold, "6h": cold, "3d": cold}, NoAlert},
		"fast":                   {map[string]Ratio{"5m": hot, "1h": hot, "6h": hot, "3d": warm}, AlertFastBurn},
		"over since 5 minutes":   {map[string]Ratio{"5m": cold, "1h": hot, "6h": cold, "3d": cold}, NoAlert},
		"begun 5 minutes ago":    {map[string]Ratio{"5m": hot, "1h": warm, "6h": cold, "3d": cold}, NoAlert},
		"slow":                   {map[string]Ratio{"5m": cold, "1h": cold, "6h": warm, "3d": {20, 1000}}, AlertSlowBurn},
		"slow, over since 6h":    {map[string]Ratio{"6h": cold, "3d": {20, 1000}}, NoAlert},
		"too few bad events":     {map[string]Ratio{"5m": {4, 4}, "1h": {4, 4}, "6h": {4, 4}, "3d": {4, 4}}, NoAlert},
		"just enough bad events": {map[string]Ratio{"5m": {5, 5}, "1h": {5, 5}}, AlertFastBurn},
	} {
		if got := alertOf(c.by, 0.99); got != c.want {
			t.Errorf("%s: alert %q, want %q", name, got, c.want)
		}
	}
}

func TestGapsAreNamed(t *testing.T) {
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
		"inside":     {Span{120, 240}, 1, nil},
		"one gap":    {Span{100, 400}, 5.0 / 6, []Span{{250, 300}}},
		"all around": {Span{0, 600}, 350.0 / 600, []Span{{0, 100}, {250, 300}, {500, 600}}},
		"no data":    {Span{600, 700}, 0, []Span{{600, 700}}},
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
		if got := c.share(w.window); math.Abs(got-w.share) > 1e-9 {
			t.Errorf("%s: covered %v, want %v", name, got, w.share)
		}
	}
}
