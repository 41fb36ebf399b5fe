package report

import (
	"expvar"
	"log/slog"

	"github.com/bluebellstile/bluebellstile/internal/metrics"
)

// Alarms logs alerts when they begin and end, and sets the gauges of the
// report. It is not safe for concurrent use.
type Alarms struct {
	log *slog.Logger
	// active holds the alerts of the last report.
	active map[alertKey]bool
}

// alertKey identifies an alert of one indicator of a series.
type alertKey struct {
	key       Key
	indicator string
	alert     Alert
}

// NewAlarms returns an Alarms without active alerts.
func NewAlarms(log *slog.Logger) *Alarms {
	return &Alarms{log: log, active: make(map[alertKey]bool)}
}

// Update replaces the active alerts by those of a report. The beginning and the
// end of an alert are logged once each, unless logChanges is false: then another
// daemon logs them.
func (a *Alarms) Update(view *View, logChanges bool) {
	active := make(map[alertKey]bool)
	for i := range view.Rows {
		a.collect(&view.Rows[i], active, logChanges)
	}
	for old := range a.active {
		if !active[old] && logChanges {
			a.log.Info("service-level alert over", old.attributes()...)
		}
	}
	a.active = active
	setGauges(view, active)
}

// collect adds the alerts of a row to active and logs the new ones.
func (a *Alarms) collect(row *Row, active map[alertKey]bool, logChanges bool) {
	key := Key{row.Team, row.Queue}
	if row.LostAlert != NoAlert {
		a.raise(alertKey{key, "lost", row.LostAlert}, active, logChanges, "lost", row.Lost)
	}
	for _, i := range row.Indicators {
		if i.Alert == NoAlert {
			continue
		}
		cause := ""
		if len(i.Causes) > 0 {
			cause = i.Causes[0].Cause
		}
		a.raise(alertKey{key, i.Name, i.Alert}, active, logChanges, "budget_left", i.BudgetLeft, "burn_1h", i.burn("1h"), "burn_3d", i.burn("3d"), "cause", cause)
	}
}

// raise adds an alert to active and logs it if it is new.
func (a *Alarms) raise(new alertKey, active map[alertKey]bool, logChanges bool, details ...any) {
	active[new] = true
	if !a.active[new] && logChanges {
		a.log.Warn("service-level alert", append(new.attributes(), details...)...)
	}
}

// attributes returns the log attributes of an alert.
func (k alertKey) attributes() []any {
	return []any{"team", k.key.Team, "queue", k.key.Queue, "indicator", k.indicator, "alert", string(k.alert)}
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

// setGauges publishes the number of active alerts by kind and the highest burn
// rate of each indicator.
func setGauges(view *View, active map[alertKey]bool) {
	count := map[Alert]int64{AlertFastBurn: 0, AlertSlowBurn: 0, AlertLostWork: 0}
	for k := range active {
		count[k.alert]++
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
