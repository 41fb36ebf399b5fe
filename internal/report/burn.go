package report

import "time"

// Windows over which burn rates are computed, and the period of the error
// budget.
const (
	FastShort    = 5 * time.Minute
	FastLong     = time.Hour
	SlowShort    = 6 * time.Hour
	SlowLong     = 3 * 24 * time.Hour
	BudgetPeriod = hourRetention
)

const (
	// FastBurn is the burn rate that spends 2% of the budget of 30 days within
	// an hour.
	FastBurn = 14.4
	// SlowBurn is the burn rate that spends the budget exactly within its
	// period.
	SlowBurn = 1.0
	// MinBadEvents is the number of bad events in the longer window below which
	// there is no alert, so that a rare failure on a quiet queue raises none.
	MinBadEvents = 5
)

// window is a length of time and its name in the report.
type window struct {
	name   string
	length time.Duration
}

// windows lists the windows of the report, the shortest first.
var windows = []window{
	{"5m", FastShort},
	{"1h", FastLong},
	{"6h", SlowShort},
	{"3d", SlowLong},
	{"30d", BudgetPeriod},
}

// Burn returns the rate at which an error budget is spent; at a rate of 1 it is
// spent exactly within the budget's period:
//
//	burn = (bad / total) / (1 - target)
//
// It is 0 without events. A target of 1 or more leaves no budget, so that the
// burn rate is noBudgetBurn if there is any bad event.
func Burn(r Ratio, target float64) float64 {
	if r.Total == 0 || r.Bad == 0 {
		return 0
	}
	if target >= 1 {
		return noBudgetBurn
	}
	return float64(r.Bad) / float64(r.Total) / (1 - target)
}

// noBudgetBurn is the burn rate reported for bad events if the target allows
// none.
const noBudgetBurn = 1e6

// BudgetLeft returns the fraction of the error budget that is left over the part
// of the budget's period that has data. It is negative if the budget is
// overspent:
//
//	left = 1 - bad / (total * (1 - target)) = 1 - burn
func BudgetLeft(r Ratio, target float64) float64 {
	return 1 - Burn(r, target)
}

// Alert is the kind of an alert.
type Alert string

// Kinds of alerts.
const (
	NoAlert Alert = ""
	// AlertFastBurn means that the budget of 30 days is spent within about two days.
	AlertFastBurn Alert = "fast"
	// AlertSlowBurn means that the budget does not last for its period.
	AlertSlowBurn Alert = "slow"
	// AlertLostWork means that accepted durable work was lost within SlowLong.
	AlertLostWork Alert = "lost"
)

// evaluateAlert returns the alert of an indicator, given its ratios by window
// name. Both windows of a pair must be over the threshold: the longer one shows
// that the problem is significant, the shorter one that it persists.
func evaluateAlert(ratios map[string]Ratio, target float64) Alert {
	over := func(short, long string, threshold float64) bool {
		return ratios[long].Bad >= MinBadEvents && Burn(ratios[long], target) >= threshold && Burn(ratios[short], target) >= threshold
	}
	switch {
	case over("5m", "1h", FastBurn):
		return AlertFastBurn
	case over("6h", "3d", SlowBurn):
		return AlertSlowBurn
	}
	return NoAlert
}
