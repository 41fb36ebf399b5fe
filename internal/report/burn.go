package report

import "time"

// Windows over which burn rates are computed, and the budget's period.
const (
	FastShort    = 5 * time.Minute
	FastLong     = time.Hour
	SlowShort    = 6 * time.Hour
	SlowLong     = 3 * 24 * time.Hour
	BudgetPeriod = hourReach
)

const (
	// FastBurn spends 2% of the budget of 30 days within an hour.
	FastBurn = 14.4
	// SlowBurn spends the budget within its period.
	SlowBurn = 1.0
	// MinBadEvents is the number of bad events in the longer window below which
	// there is no alert, so that a rare failure on a quiet queue raises none.
	MinBadEvents = 5
)

// window is a length of time and the name that it has in the report.
type window struct {
	name   string
	length time.Duration
}

// windows of the report, the shortest first.
var windows = []window{
	{"5m", FastShort},
	{"1h", FastLong},
	{"6h", SlowShort},
	{"3d", SlowLong},
	{"30d", BudgetPeriod},
}

// Burn is how fast an error budget is spent; 1 spends it exactly within the
// budget's period:
//
//	burn = (bad / total) / (1 - target)
//
// It is 0 without events. A target of 1 or more leaves no budget, so that any
// bad event counts as noBudgetBurn.
func Burn(r Ratio, target float64) float64 {
	if r.Total == 0 || r.Bad == 0 {
		return 0
	}
	if target >= 1 {
		return noBudgetBurn
	}
	return float64(r.Bad) / float64(r.Total) / (1 - target)
}

// noBudgetBurn stands for the burn rate where no bad event is allowed.
const noBudgetBurn = 1e6

// BudgetLeft is the fraction of the error budget that is left, negative once
// it is overspent, over the part of the budget's period that has data:
//
//	left = 1 - bad / (total * (1 - target)) = 1 - burn
func BudgetLeft(r Ratio, target float64) float64 {
	return 1 - Burn(r, target)
}

// Alert is a burn rate over its threshold.
type Alert string

// Alerts.
const (
	NoAlert Alert = ""
	// AlertFastBurn means that the budget of 30 days is gone within about two
	// days.
	AlertFastBurn Alert = "fast"
	// AlertSlowBurn means that the budget does not last for its period.
	AlertSlowBurn Alert = "slow"
	// AlertLostWork means that accepted durable work was lost within SlowLong.
	AlertLostWork Alert = "lost"
)

// alertOf tells whether an indicator alerts. Both windows of a pair have to be
// over the threshold: the longer one says that it matters, the shorter one
// that it still goes on. by holds the ratio of each window by name.
func alertOf(by map[string]Ratio, target float64) Alert {
	over := func(short, long string, threshold float64) bool {
		return by[long].Bad >= MinBadEvents && Burn(by[long], target) >= threshold && Burn(by[short], target) >= threshold
	}
	switch {
	case over("5m", "1h", FastBurn):
		return AlertFastBurn
	case over("6h", "3d", SlowBurn):
		return AlertSlowBurn
	}
	return NoAlert
}
