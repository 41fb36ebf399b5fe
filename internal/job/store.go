package job

import (
	"cmp"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Limits on the number and the total size of the finished jobs that a zone
// keeps for reads. The jobs that finished first are evicted first.
const (
	MaxFinished      = 1024
	MaxFinishedBytes = 1 << 20
)

// ticketKey identifies a job by the ticket that its caller chose, which is
// unique within the team.
type ticketKey struct {
	team, ticket string
}

// Store holds the open and finished jobs of one zone. The caller has checked
// the epoch of the records that it applies. The rules are:
//
//   - A job is accepted unless it is invalid, its id is known, or its team
//     has used its ticket for another known job. A record that repeats an open
//     job with Cancelled set marks the job as cancelled.
//   - Only the first outcome of a task is recorded. Later outcomes and those
//     of unknown jobs are ignored.
//   - A job is finished when all its tasks have outcomes. Its inputs are then
//     dropped and it is kept for reads, up to MaxFinished and
//     MaxFinishedBytes.
type Store struct {
	zone     string
	open     map[string]*Job
	finished map[string]*Job
	tickets  map[ticketKey]string
	// finishedOrder has the ids of the finished jobs, in the order in which they
	// finished.
	finishedOrder []string
	finishedBytes int
	sequence      uint64
}

// NewStore returns an empty store.
func NewStore(zone string) *Store {
	return &Store{
		zone:     zone,
		open:     map[string]*Job{},
		finished: map[string]*Job{},
		tickets:  map[ticketKey]string{},
	}
}

// Accept applies the jobs of one record. It returns an error by job id for each
// job that is rejected.
func (s *Store) Accept(jobs []record.Job) map[string]error {
	var rejected map[string]error
	for i := range jobs {
		err := s.accept(&jobs[i])
		if err == nil {
			continue
		}
		if rejected == nil {
			rejected = map[string]error{}
		}
		rejected[jobs[i].ID] = err
	}
	return rejected
}

// accept adds one job, or cancels a known open one. An error is a
// *record.Void.
func (s *Store) accept(spec *record.Job) error {
	if err := Validate(spec); err != nil {
		return err
	}
	if known, ok := s.open[spec.ID]; ok && spec.Cancelled && !known.Spec.Cancelled {
		s.cancel(known)
		return nil
	}
	if _, ok := s.Job(spec.ID); ok {
		return record.NewVoid(record.VoidDuplicate, "job %q is already accepted; read its state", spec.ID)
	}
	if id, ok := s.tickets[ticketKey{spec.Team, spec.Ticket}]; ok && spec.Ticket != "" {
		return record.NewVoid(record.VoidDuplicate, "ticket %q is already used by job %q; read that job's state", spec.Ticket, id)
	}
	s.insert(newJob(s.zone, spec, len(spec.Inputs)))
	return nil
}

// insert adds an open job after those accepted before.
func (s *Store) insert(j *Job) {
	s.sequence++
	j.sequence = s.sequence
	s.open[j.Spec.ID] = j
	s.indexTicket(j)
}

// indexTicket makes the job available to ByTicket if it has a ticket.
func (s *Store) indexTicket(j *Job) {
	if j.Spec.Ticket == "" {
		return
	}
	s.tickets[ticketKey{j.Spec.Team, j.Spec.Ticket}] = j.Spec.ID
}

func (s *Store) cancel(j *Job) {
	next := j.clone()
	next.Spec.Cancelled = true
	s.open[j.Spec.ID] = next
}

// Record applies the outcomes of one record and returns how many of them were
// new and valid.
func (s *Store) Record(outcomes []record.Outcome) int {
	recorded := 0
	copies := map[string]*Job{}
	for i := range outcomes {
		o := &outcomes[i]
		j := s.openCopy(o.Job, copies)
		if j != nil && validState(o.State) && j.addOutcome(o) {
			recorded++
			s.finishIfComplete(j)
		}
	}
	return recorded
}

// openCopy returns a modifiable copy of an open job, nil if there is no such
// job. Jobs that were returned to callers must not change, so the first call
// replaces the stored job by a copy, which it keeps in copies for later calls.
func (s *Store) openCopy(id string, copies map[string]*Job) *Job {
	j, ok := s.open[id]
	if !ok {
		return nil
	}
	if copies[id] == nil {
		copies[id] = j.clone()
		s.open[id] = copies[id]
	}
	return copies[id]
}

// finishIfComplete moves j to the finished jobs if all its tasks have outcomes.
func (s *Store) finishIfComplete(j *Job) {
	if !j.Finished() {
		return
	}
	delete(s.open, j.Spec.ID)
	j.Spec.Inputs = nil
	j.Spec.Tasks = j.Tasks
	s.retainFinished(j)
}

// retainFinished keeps j for reads and evicts the oldest finished jobs that
// exceed the limits, but never j itself.
func (s *Store) retainFinished(j *Job) {
	s.finished[j.Spec.ID] = j
	s.finishedOrder = append(s.finishedOrder, j.Spec.ID)
	s.finishedBytes += j.retainedBytes()
	for len(s.finishedOrder) > 1 && (len(s.finishedOrder) > MaxFinished || s.finishedBytes > MaxFinishedBytes) {
		s.evict(s.finishedOrder[0])
		s.finishedOrder = s.finishedOrder[1:]
	}
}

// evict removes a finished job and its ticket. The caller updates
// finishedOrder.
func (s *Store) evict(id string) {
	j := s.finished[id]
	s.finishedBytes -= j.retainedBytes()
	delete(s.finished, id)
	key := ticketKey{j.Spec.Team, j.Spec.Ticket}
	if s.tickets[key] == id {
		delete(s.tickets, key)
	}
}

// Job returns the open or finished job with the given id.
func (s *Store) Job(id string) (*Job, bool) {
	if j, ok := s.open[id]; ok {
		return j, true
	}
	j, ok := s.finished[id]
	return j, ok
}

// ByTicket returns the job that the team submitted with the given ticket.
func (s *Store) ByTicket(team, ticket string) (*Job, bool) {
	if ticket == "" {
		return nil, false
	}
	id, ok := s.tickets[ticketKey{team, ticket}]
	if !ok {
		return nil, false
	}
	return s.Job(id)
}

// Open returns the open jobs in the order in which they were accepted.
func (s *Store) Open() []*Job {
	jobs := make([]*Job, 0, len(s.open))
	for _, j := range s.open {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.sequence, b.sequence) })
	return jobs
}

// Finished returns the finished jobs in the order in which they finished.
func (s *Store) Finished() []*Job {
	jobs := make([]*Job, 0, len(s.finishedOrder))
	for _, id := range s.finishedOrder {
		jobs = append(jobs, s.finished[id])
	}
	return jobs
}

// Restore restores a store from a snapshot. It returns an error if finished
// jobs lack outcomes or exceed the limits.
func Restore(zone string, open, finished []record.Job, outcomes []record.Outcome) (*Store, error) {
	if err := checkFinished(finished, outcomes); err != nil {
		return nil, err
	}
	s := NewStore(zone)
	all := make(map[string]*Job, len(open)+len(finished))
	for i := range open {
		j := newJob(zone, &open[i], len(open[i].Inputs))
		all[j.Spec.ID] = j
		s.insert(j)
	}
	for i := range finished {
		all[finished[i].ID] = newJob(zone, &finished[i], finished[i].Tasks)
	}
	for i := range outcomes {
		if j, ok := all[outcomes[i].Job]; ok {
			j.restoreOutcome(&outcomes[i])
		}
	}
	for i := range finished {
		j := all[finished[i].ID]
		if _, known := s.Job(j.Spec.ID); known {
			continue
		}
		s.indexTicket(j)
		s.retainFinished(j)
	}
	return s, nil
}

// checkFinished validates the finished jobs of a snapshot. It bounds the memory
// that a corrupt snapshot makes its reader allocate.
func checkFinished(finished []record.Job, outcomes []record.Outcome) error {
	tasks := 0
	for i := range finished {
		if n := finished[i].Tasks; n < 0 || n > MaxTasks {
			return record.NewVoid(record.VoidInvalid, "job %q in a snapshot has %d tasks", finished[i].ID, n)
		}
		tasks += finished[i].Tasks
	}
	if tasks > len(outcomes) || len(finished) > MaxFinished {
		return record.NewVoid(record.VoidInvalid, "a snapshot has %d finished jobs with %d tasks and %d outcomes, which is too many jobs or too few outcomes", len(finished), tasks, len(outcomes))
	}
	return nil
}

// restoreOutcome adds an outcome from a snapshot. Its output was limited when
// the outcome was recorded.
func (j *Job) restoreOutcome(o *record.Outcome) {
	if o.Index < 0 || o.Index >= len(j.Outcomes) || j.Outcomes[o.Index] != nil {
		return
	}
	j.Outcomes[o.Index] = o
	j.outputBytes += len(o.Output)
	j.Unfinished--
}
