package controller

import (
	"sort"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// RecordSplitKeys divide the keys of jobs' records into ranges of about the same
// size, to be read at the same time. Most records are those of ended jobs.
func RecordSplitKeys() []string {
	bounds := []string{progressPrefix}
	for _, digit := range "48c" {
		bounds = append(bounds, progressPrefix+string(digit))
	}
	return bounds
}

// Restore takes in what earlier terms have left in the log: the newest record
// of each key. It is called before any other event.
func (c *Core) Restore(now clock.Instant, entries []keyedlog.Entry) {
	admissions := make(map[workload.ID][]byte)
	progress := make(map[workload.ID][]byte)
	for _, e := range entries {
		prefix, rest := e.Key[:min(2, len(e.Key))], e.Key[min(2, len(e.Key)):]
		if prefix == silentPrefix {
			if len(e.Value) > 0 {
				c.restoreSilence(rest, e.Value)
			}
			continue
		}
		id, ok := workload.ParseID(rest)
		switch {
		case !ok || len(e.Value) == 0:
			if len(e.Value) > 0 {
				c.log.Warn("record with an unknown key is left alone", "key", e.Key)
			}
		case prefix == admissionPrefix:
			admissions[id] = e.Value
		case prefix == progressPrefix:
			progress[id] = e.Value
		default:
			c.log.Warn("record with an unknown key is left alone", "key", e.Key)
		}
	}
	for _, id := range sortedJobs(progress) {
		if admissions[id] == nil {
			c.restoreFinal(id, progress[id])
		}
	}
	for _, id := range sortedJobs(admissions) {
		c.restoreJob(now, id, admissions[id], progress[id])
	}
	sort.SliceStable(c.ended, func(i, k int) bool { return c.ended[i].job.Finished().Before(c.ended[k].job.Finished()) })
}

func sortedJobs(m map[workload.ID][]byte) []workload.ID {
	ids := make([]workload.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return strings.Compare(string(ids[i]), string(ids[k])) < 0 })
	return ids
}

// restoreFinal takes in a job that has ended.
func (c *Core) restoreFinal(id workload.ID, data []byte) {
	j, ok, err := workload.FinalJob(id, data)
	if err != nil || !ok {
		c.log.Error("a job was left out, its record is unreadable or lacks its admission", "job", id, "error", err)
		return
	}
	e := &jobEntry{job: j, admitted: true, ended: true}
	c.jobs[id] = e
	c.ended = append(c.ended, e)
}

// restoreJob takes in a job that may have runs.
func (c *Core) restoreJob(now clock.Instant, id workload.ID, admission, progress []byte) {
	j, err := workload.DecodeAdmission(id, admission)
	if err == nil && progress != nil {
		err = j.Restore(progress)
	}
	if err != nil {
		c.log.Error("a job was left out, its record is unreadable", "job", id, "error", err)
		return
	}
	e := &jobEntry{job: j, admitted: true, ended: j.Final()}
	c.addJob(now, e)
	if e.ended {
		// Its runs occupy their endpoints and count for their customer until
		// they are known to have ended.
		defer c.stopJob(now, j)
	}
	for _, o := range j.Live() {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				for _, r := range s.Runs(i) {
					c.inherit(s, i, r)
				}
			}
		}
	}
}

// inherit takes in a run that an earlier term has ordered. If the endpoint has
// lived on as a later incarnation, the run waits for that one's first report:
// its order may have reached the new life.
func (c *Core) inherit(s *workload.StepRun, index int, r workload.Run) {
	e := c.fleet.Endpoint(r.Endpoint)
	if e == nil || e.Incarnation < r.Incarnation {
		e, _ = c.fleet.Register(fleet.Registration{ID: r.Endpoint, Incarnation: r.Incarnation})
		e.Listed = false
		c.boundInherited(e)
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
		Pace:     100,
	})
	if se := c.steps[s]; se != nil {
		se.stale = true
	}
}
