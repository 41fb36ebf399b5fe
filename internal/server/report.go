package server

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/job"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/report"
	"gopkg.in/tomb.v2"
)

// reportTimeout bounds the recording of one period.
const reportTimeout = 5 * time.Second

// reportGrace bounds the recording of the last period before a planned stop,
// which a slow log must not hold up.
const reportGrace = time.Second

// reporter connects the parts of the service-level report with the daemon.
type reporter struct {
	server    *Server
	collector *report.Collector
	recorder  *report.Recorder
	// doors and door count what this daemon sees as a front door.
	doors  *report.Collector
	door   *report.Recorder
	store  *report.Store
	fold   *report.Fold
	alarms *report.Alarms
}

// newReporter returns a reporter over the server's journal.
func newReporter(s *Server) *reporter {
	r := &reporter{server: s, store: report.NewStore(), alarms: report.NewAlarms(s.log)}
	r.collector = report.NewCollector(r.objective)
	r.recorder = report.NewRecorder(s.self.AvailabilityZone, r.collector, reportLog{s.journal}, s.log)
	r.doors = report.NewCollector(r.objective)
	r.door = report.NewFrontDoorRecorder(s.self.AvailabilityZone, r.doors, reportLog{s.journal}, r.epoch, s.log, time.Now())
	r.fold = report.NewFold(r.store, s.journal.State(), time.Now, s.log)
	r.fold.Confirm(func(id string) {
		r.recorder.Confirm(id)
		r.door.Confirm(id)
	})
	return r
}

// reportLog is the journal as the recorder uses it.
type reportLog struct{ *journal.Journal }

// Applied implements report.Log.
func (l reportLog) Applied() uint64 { return l.State().Applied() }

// objective returns the objective of a queue in the configuration in force.
func (r *reporter) objective(queue string) (report.Objective, bool) {
	cfg, version := r.server.journal.State().Config()
	if version == 0 {
		return report.Objective{}, false
	}
	for i := range cfg.Queues {
		if q := &cfg.Queues[i]; q.Name == queue {
			return report.Objective{Within: q.StartObjective, Target: q.StartTarget}, true
		}
	}
	return report.Objective{}, false
}

// epoch returns the current epoch of the daemon's zone.
func (r *reporter) epoch() (uint64, bool) {
	claim, ok := r.server.journal.State().Epoch(r.server.self.AvailabilityZone)
	return claim.Epoch, ok
}

// observe folds summaries and counts lost tasks, in log order.
func (r *reporter) observe(effect cell.Effect) {
	r.fold.Observe(effect)
	if effect.Kind == record.KindOutcomes && effect.Valid && effect.Zone == r.server.self.AvailabilityZone {
		r.countLost(effect.Envelope.Outcomes)
	}
}

// countLost counts the tasks whose outcome is recorded as unknown.
func (r *reporter) countLost(outcomes *record.Outcomes) {
	for i := range outcomes.Outcomes {
		o := &outcomes.Outcomes[i]
		if o.State != job.StateUnknown {
			continue
		}
		j, ok := r.server.journal.State().Job(o.Job)
		if ok && r.recorder.Lost(outcomes.Epoch, j.Spec.Team, j.Spec.Queue) {
			r.server.log.Warn("outcome of an accepted task is unknown", "job", o.Job, "task", o.Index, "team", j.Spec.Team, "queue", j.Spec.Queue, "reason", o.Reason)
		}
	}
}

// view computes the report.
func (r *reporter) view() *report.View {
	cfg, version := r.server.journal.State().Config()
	var zones []string
	if version != 0 {
		for _, z := range cfg.Zones {
			zones = append(zones, z.Name)
		}
	}
	return r.store.Build(time.Now(), version, zones, r.objective)
}

// record ends the current period of the report: the holder's, if this daemon
// holds its zone, and the front door's.
func (r *reporter) record(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, recorder := range []*report.Recorder{r.recorder, r.door} {
		if err := recorder.Record(ctx, time.Now()); err != nil {
			r.server.log.Warn("summary of the report not confirmed; it is kept and tried again", "error", err)
		}
	}
}

// runReport records periods while this daemon holds its zone, and raises the
// alerts of the report. The holders log them, so that a zone that is cut off
// raises its own; every daemon sets the gauges.
func (s *Server) runReport(t *tomb.Tomb) error {
	ticker := time.NewTicker(s.settings.Report.Period)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		s.report.record(t.Context(context.Background()), reportTimeout)
		s.report.alarms.Update(s.report.view(), s.termManager.current() != nil)
	}
}
