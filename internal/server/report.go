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

// reportTimeout limits how long recording one report period may take.
const reportTimeout = 5 * time.Second

// finalReportTimeout limits how long recording the last period before a planned
// stop may take. It is short so that a slow log does not delay the stop.
const finalReportTimeout = time.Second

// reporter connects the service-level report to the daemon. It collects
// measurements, records them in the log at the end of each period, and builds
// the report from the recorded summaries of all daemons.
type reporter struct {
	server    *Server
	collector *report.Collector
	recorder  *report.Recorder
	// frontDoorCollector and frontDoorRecorder count what this daemon observes as
	// a front door, a daemon that receives callers' requests, whether or not it
	// holds their zone.
	frontDoorCollector *report.Collector
	frontDoorRecorder  *report.Recorder
	store              *report.Store
	fold               *report.Fold
	alarms             *report.Alarms
}

// newReporter returns a reporter that reads and writes the server's journal.
func newReporter(s *Server) *reporter {
	r := &reporter{server: s, store: report.NewStore(), alarms: report.NewAlarms(s.log)}
	r.collector = report.NewCollector(r.objective)
	r.recorder = report.NewRecorder(s.self.AvailabilityZone, r.collector, reportLog{s.journal}, s.log)
	r.frontDoorCollector = report.NewCollector(r.objective)
	r.frontDoorRecorder = report.NewFrontDoorRecorder(s.self.AvailabilityZone, r.frontDoorCollector, reportLog{s.journal}, r.epoch, s.log, time.Now())
	r.fold = report.NewFold(r.store, s.journal.State(), time.Now, s.log)
	r.fold.OnConfirmed(func(id string) {
		r.recorder.Confirm(id)
		r.frontDoorRecorder.Confirm(id)
	})
	return r
}

// reportLog adapts the journal to report.Log.
type reportLog struct{ *journal.Journal }

// Applied implements report.Log.
func (l reportLog) Applied() uint64 { return l.State().Applied() }

// objective returns the latency objective of a queue in the active configuration,
// and false if the queue is not configured.
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
	claim, ok := r.server.journal.State().Claim(r.server.self.AvailabilityZone)
	return claim.Epoch, ok
}

// observe adds recorded summaries to the report and counts lost tasks. It is
// called for every applied record, in log order.
func (r *reporter) observe(effect cell.Effect) {
	r.fold.Observe(effect)
	if effect.Kind == record.KindOutcomes && effect.Valid && effect.Zone == r.server.self.AvailabilityZone {
		r.countLostTasks(effect.Envelope.Outcomes)
	}
}

// countLostTasks counts and logs the tasks whose outcome is recorded as unknown.
func (r *reporter) countLostTasks(outcomes *record.Outcomes) {
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

// view computes the report as of now.
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

// record ends the current report period and appends its summaries to the log:
// the holder's, if this daemon holds its zone, and the front door's. A summary
// that is not confirmed is kept and appended again with the next period.
func (r *reporter) record(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, recorder := range []*report.Recorder{r.recorder, r.frontDoorRecorder} {
		if err := recorder.Record(ctx, time.Now()); err != nil {
			r.server.log.Warn("append of a report summary was not confirmed; it is kept and retried", "error", err)
		}
	}
}

// runReport records the report and updates its alerts once per report period
// until t dies. Every daemon sets the alert gauges. Only holders log alerts, so
// that each zone logs its own even when it is cut off from the others.
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
