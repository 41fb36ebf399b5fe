package job

import (
	"cmp"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Bounds on the finished jobs that a zone keeps for reads. The oldest are
// forgotten first.
const (
	MaxFinished      = 1024
	MaxFinishedBytes = 1 << 20
)

// ticketKey is the caller's id of a job, which is unique in its team.
type ticketKey struct {
	team, ticket string
}

// Store holds the jobs of one zone. Its rules, for records whose epoch the
// caller has checked:
//
//   - A job is accepted unless it is invalid, its id is known, or its team
//     has used its ticket for another known job. A job recorded again with
//     Cancelled set is cancelled from then on.
//   - The first outcome of a task counts. Later ones, and those of unknown
//     jobs, have no effect.
//   - A job is finished when all its tasks have outcomes. It then loses its
//     inputs and is kept for reads, with the bounds above.
type Store struct {
	zone     string
	open     map[string]*Job
	finished map[string]*Job
	tickets  map[ticketKey]string
	// order lists finished jobs, the oldest first.
	order         []string
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

// Accept applies a group of accepted jobs and returns why some of them have no
// effect, by id.
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

func (s *Store) accept(spec *record.Job) error {
	if err := Validate(spec); err != nil {
		return err
	}
	if known, ok := s.open[spec.ID]; ok && spec.Cancelled && !known.Spec.Cancelled {
		s.cancel(known)
		return nil
	}
	if _, ok := s.Job(spec.ID); ok {
		return record.NewVoid(record.VoidDuplicate, "job %q is accepted already; read its state", spec.ID)
	}
	if id, ok := s.tickets[ticketKey{spec.Team, spec.Ticket}]; ok && spec.Ticket != "" {
		return record.NewVoid(record.VoidDuplicate, "ticket %q is that of job %q; read its state", spec.Ticket, id)
	}
	s.insert(newJob(s.zone, spec, len(spec.Inputs)))
	return nil
}

func (s *Store) insert(j *Job) {
	s.sequence++
	j.sequence = s.sequence
	s.open[j.Spec.ID] = j
	s.index(j)
}

func (s *Store) index(j *Job) {
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

// Record applies a group of outcomes and returns how many took effect.
func (s *Store) Record(outcomes []record.Outcome) int {
	counted := 0
	changed := map[string]*Job{}
	for i := range outcomes {
		o := &outcomes[i]
		j := s.writable(o.Job, changed)
		if j != nil && knownState(o.State) && j.record(o) {
			counted++
			s.finishIfComplete(j)
		}
	}
	return counted
}

// writable returns the open job as a copy that this group may change, nil if
// there is none.
func (s *Store) writable(id string, changed map[string]*Job) *Job {
	j, ok := s.open[id]
	if !ok {
		return nil
	}
	if changed[id] == nil {
		changed[id] = j.clone()
		s.open[id] = changed[id]
	}
	return changed[id]
}

func (s *Store) finishIfComplete(j *Job) {
	if !j.Finished() {
		return
	}
	delete(s.open, j.Spec.ID)
	j.Spec.Inputs = nil
	j.Spec.Tasks = j.Tasks
	s.keepFinished(j)
}

// keepFinished keeps j for reads and forgets the oldest finished jobs beyond
// the bounds, but never j itself.
func (s *Store) keepFinished(j *Job) {
	s.finished[j.Spec.ID] = j
	s.order = append(s.order, j.Spec.ID)
	s.finishedBytes += j.bytes()
	for len(s.order) > 1 && (len(s.order) > MaxFinished || s.finishedBytes > MaxFinishedBytes) {
		s.forget(s.order[0])
		s.order = s.order[1:]
	}
}

func (s *Store) forget(id string) {
	j := s.finished[id]
	s.finishedBytes -= j.bytes()
	delete(s.finished, id)
	key := ticketKey{j.Spec.Team, j.Spec.Ticket}
	if s.tickets[key] == id {
		delete(s.tickets, key)
	}
}

// Job returns an open or finished job.
func (s *Store) Job(id string) (*Job, bool) {
	if j, ok := s.open[id]; ok {
		return j, true
	}
	j, ok := s.finished[id]
	return j, ok
}

// ByTicket returns the job to which the team gave the ticket.
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

// Finished returns the finished jobs, the oldest first.
func (s *Store) Finished() []*Job {
	jobs := make([]*Job, 0, len(s.order))
	for _, id := range s.order {
		jobs = append(jobs, s.finished[id])
	}
	return jobs
}

// Restore returns the store that a snapshot gives. It refuses one whose
// finished jobs lack outcomes.
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
			j.restore(&outcomes[i])
		}
	}
	for i := range finished {
		j := all[finished[i].ID]
		if _, known := s.Job(j.Spec.ID); known {
			continue
		}
		s.index(j)
		s.keepFinished(j)
	}
	return s, nil
}

// checkFinished bounds what a damaged snapshot makes its reader allocate.
func checkFinished(finished []record.Job, outcomes []record.Outcome) error {
	tasks := 0
	for i := range finished {
		if n := finished[i].Tasks; n < 0 || n > MaxTasks {
			return record.NewVoid(record.VoidInvalid, "job %q in a snapshot has %d tasks", finished[i].ID, n)
		}
		tasks += finished[i].Tasks
	}
	if tasks > len(outcomes) || len(finished) > MaxFinished {
		return record.NewVoid(record.VoidInvalid, "a snapshot has %d finished jobs with %d tasks and %d outcomes", len(finished), tasks, len(outcomes))
	}
	return nil
}

// restore adds an outcome whose output was bounded when it was recorded.
func (j *Job) restore(o *record.Outcome) {
	if o.Index < 0 || o.Index >= len(j.Outcomes) || j.Outcomes[o.Index] != nil {
		return
	}
	j.Outcomes[o.Index] = o
	j.outputBytes += len(o.Output)
	j.Left--
}
