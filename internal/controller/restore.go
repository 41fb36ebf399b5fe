package controller

import (
	"sort"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// RecordSplitKeys returns the keys that split the job records into ranges of
// about the same size, which can be read in parallel. Most records are those of
// ended jobs.
func RecordSplitKeys() []string {
	bounds := []string{progressPrefix}
	for _, digit := range "48c" {
		bounds = append(bounds, progressPrefix+string(digit))
	}
	return bounds
}

// Restore loads the newest record of each key that earlier terms left in the
// log. It must be called before any event other than EndpointListed.
func (c *Core) Restore(now clock.Instant, entries []keyedlog.Entry) {
	admissions := make(map[workload.ID][]byte)
	progress := make(map[workload.ID]map[workload.RecordName][]byte)
	for _, e := range entries {
		prefix, rest := e.Key[:min(2, len(e.Key))], e.Key[min(2, len(e.Key)):]
		if len(e.Value) == 0 {
			continue
		}
		if prefix == silentPrefix {
			c.restoreSilence(rest, e.Value)
			continue
		}
		if prefix == lateStartPrefix {
			c.restoreLateStarts(now, rest, e.Value)
			continue
		}
		id, name, ok := parseJobKey(rest)
		switch {
		case ok && prefix == admissionPrefix:
			admissions[id] = e.Value
		case ok && prefix == progressPrefix:
			if progress[id] == nil {
				progress[id] = make(map[workload.RecordName][]byte)
			}
			progress[id][name] = e.Value
		default:
			c.log.Warn("ignoring a record with an unknown key", "key", e.Key)
		}
	}
	for _, id := range sortedKeys(progress) {
		if admissions[id] == nil {
			c.restoreFinal(id, progress[id])
		}
	}
	for _, id := range sortedKeys(admissions) {
		c.restoreJob(now, id, admissions[id], progress[id])
	}
	sort.SliceStable(c.ended, func(i, k int) bool { return c.ended[i].job.Finished().Before(c.ended[k].job.Finished()) })
}

// parseJobKey parses what follows the prefix in the key of a job's record.
func parseJobKey(text string) (id workload.ID, name workload.RecordName, ok bool) {
	end := min(workload.IDLength, len(text))
	id, idOK := workload.ParseID(text[:end])
	name, nameOK := workload.ParseRecordName(text[end:])
	return id, name, idOK && nameOK
}

// restoreFinal adds a job that has ended.
func (c *Core) restoreFinal(id workload.ID, progress map[workload.RecordName][]byte) {
	j, ok, err := workload.DecodeFinalJob(id, progress)
	if err != nil || !ok {
		c.log.Error("job not restored, its record can't be decoded or its admission is missing", "job", id, "error", err)
		return
	}
	e := &jobEntry{job: j, admitted: true, ended: true}
	c.jobs[id] = e
	c.ended = append(c.ended, e)
}

// restoreJob adds a job that may have runs.
func (c *Core) restoreJob(now clock.Instant, id workload.ID, admission []byte, progress map[workload.RecordName][]byte) {
	j, err := workload.DecodeAdmission(id, admission)
	if err == nil && progress != nil {
		err = j.Restore(progress)
	}
	if err != nil {
		c.log.Error("job not restored, its record can't be decoded", "job", id, "error", err)
		return
	}
	e := &jobEntry{job: j, admitted: true, ended: j.Final()}
	c.addJob(now, e)
	if e.ended {
		// The job's runs occupy their endpoints and count towards the
		// customer's quota until they are known to have ended.
		defer c.stopJob(now, j)
	}
	for _, o := range j.Live() {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				for _, r := range s.Runs(i) {
					c.restoreRun(s, i, r)
				}
			}
		}
	}
}

// restoreRun adds a run that an earlier term ordered. If the endpoint now has a
// later incarnation, the run waits for its first report, because the order may
// have reached that incarnation.
func (c *Core) restoreRun(s *workload.StepRun, index int, r workload.Run) {
	e := c.fleet.Endpoint(r.Endpoint)
	if e == nil || e.Incarnation < r.Incarnation {
		e, _ = c.fleet.Register(fleet.Registration{ID: r.Endpoint, Incarnation: r.Incarnation})
		c.fleet.Unlist(e)
		c.boundInheritedLease(e)
	}
	moved := e.Incarnation > r.Incarnation
	if moved {
		// Holders of earlier terms may not know the later incarnation.
		e.ExtendLeaseEnd(c.fencedAt + c.params.TermGrace + maxOrderTime + c.longestLease())
	}
	e.Add(&fleet.Run{
		Key:      fleet.Key{Task: s.ID(index), Number: r.Number},
		Step:     s,
		Customer: s.Job.Customer,
		Queue:    s.Job.Queue,
		Priority: priorityOf(c.catalog.Queue(s.Job.Queue)),
		Size:     s.Spec.Size,
		Charge:   s.Spec.Charge(),
		Phase:    fleet.PhaseInherited,
		Moved:    moved,
		Pace:     100,
	})
	if se := c.steps[s]; se != nil {
		se.waitingStale = true
	}
}
