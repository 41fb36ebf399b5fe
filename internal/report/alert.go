package report

import (
	"expvar"
	"log/slog"

	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// Alarms logs alerts as they begin and end and sets the gauges of the report.
// It is used by one goroutine.
type Alarms struct {
	log *slog.Logger
	on  map[alarm]bool
}

// alarm is one alert of a series.
type alarm struct {
	key       Key
	indicator string
	alert     Alert
}

// NewAlarms returns alarms of which none is on.
func NewAlarms(log *slog.Logger) *Alarms {
	return &Alarms{log: log, on: make(map[alarm]bool)}
}

// Update takes over the alerts of a report. A crossing of a threshold is
// logged once, on the way up and on the way down; loud is false on a daemon
// that leaves the lines to others.
func (a *Alarms) Update(view *View, loud bool) {
	on := make(map[alarm]bool)
	for i := range view.Rows {
		a.collect(&view.Rows[i], on, loud)
	}
	for old := range a.on {
		if !on[old] && loud {
			a.log.Info("service-level alert over", old.attributes()...)
		}
	}
	a.on = on
	setGauges(view, on)
}

// collect adds the alerts of a row and logs the new ones.
func (a *Alarms) collect(row *Row, on map[alarm]bool, loud bool) {
	key := Key{row.Team, row.Queue}
	if row.LostAlert != NoAlert {
		a.raise(alarm{key, "lost", row.LostAlert}, on, loud, "lost", row.Lost)
	}
	for _, i := range row.Indicators {
		if i.Alert == NoAlert {
			continue
		}
		cause := ""
		if len(i.Causes) > 0 {
			cause = i.Causes[0].Cause
		}
		a.raise(alarm{key, i.Name, i.Alert}, on, loud, "budget_left", i.BudgetLeft, "burn_1h", i.burn("1h"), "burn_3d", i.burn("3d"), "cause", cause)
	}
}

// raise adds an alarm and logs it if it is new.
func (a *Alarms) raise(new alarm, on map[alarm]bool, loud bool, details ...any) {
	on[new] = true
	if !a.on[new] && loud {
		a.log.Warn("service-level alert", append(new.attributes(), details...)...)
	}
}

// attributes are the log attributes of an alarm.
func (m alarm) attributes() []any {
	return []any{"team", m.key.Team, "queue", m.key.Queue, "indicator", m.indicator, "alert", string(m.alert)}
}

// burn returns the burn rate over the window with the given name.
func (i *Indicator) burn(name string) float64 {
	for _, w := range i.Windows {
		if w.Window == name {
			return w.Burn
		}
	}
	return 0
}

// setGauges publishes the alerts and the highest burn rates.
func setGauges(view *View, on map[alarm]bool) {
	count := map[Alert]int64{AlertFastBurn: 0, AlertSlowBurn: 0, AlertLostWork: 0}
	for m := range on {
		count[m.alert]++
	}
	for alert, n := range count {
		set(metrics.ReportAlerts, string(alert), n)
	}
	highest := map[string]float64{IndicatorStart: 0, IndicatorAnswer: 0}
	for i := range view.Rows {
		for _, indicator := range view.Rows[i].Indicators {
			highest[indicator.Name] = max(highest[indicator.Name], indicator.burn("1h"))
		}
	}
	for name, burn := range highest {
		set(metrics.ReportBurn, name, int64(burn*1000))
	}
}

// set sets one value of a metric that is split by a label.
func set(m *expvar.Map, label string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.Set(label, v)
}
