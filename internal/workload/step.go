package workload

import (
	"time"
)

// StepRun is a step of one occurrence and the state of its tasks.
type StepRun struct {
	Job        *Job
	Occurrence *Occurrence
	Index      int
	Spec       *Step
	Tasks      []Task

	// open counts the tasks that are not done.
	open int
	// gangFailures counts failed runs of a gang, gangFailed is the last of
	// them: several members of one run may fail.
	gangFailures int
	gangFailed   int
	// gangCheckpoint is the newest checkpoint of any member.
	gangCheckpoint string
}

// Task is the state of one task.
type Task struct {
	done bool
	// number is the number of the last run that was ordered.
	number     int
	failures   int
	checkpoint string
	runs       []Run
}

// Run is an execution of a task that was ordered and isn't known to have
// ended.
type Run struct {
	Number int
	// Endpoint and Incarnation say where.
	Endpoint    string
	Incarnation int64
}

// End is how a run ended.
type End int

// Ends of a run.
const (
	// EndDone is success.
	EndDone End = iota
	// EndFailed is a failure of the task or its endpoint; only these count as
	// attempts.
	EndFailed
	// EndStopped follows an order to stop.
	EndStopped
	// EndLapsed follows the end of the endpoint's lease.
	EndLapsed
	// EndBroken follows the end of another member of the gang.
	EndBroken
	// EndAlone follows a wait for the gang's other members.
	EndAlone
	// EndLost is said of a run whose endpoint has lost it, as after a restart.
	EndLost
	// EndNeverRan is said of a run that was ordered and certainly never began.
	EndNeverRan
)

// String returns the end's name as it stands in logs.
func (e End) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "never ran"}[e]
}

// ID returns the id of a task of the step.
func (s *StepRun) ID(index int) TaskID {
	return TaskID{Job: s.Job.ID, Occurrence: s.Occurrence.Index, Step: s.Index, Index: index}
}

// Name returns the step's name, ID.occurrence.step.
func (s *StepRun) Name() string { return s.ID(0).StepName() }

// Done reports whether all tasks of the step are done.
func (s *StepRun) Done() bool { return s.open == 0 }

// Open returns the number of tasks that are not done.
func (s *StepRun) Open() int { return s.open }

// Pending reports whether a task waits for a run.
func (s *StepRun) Pending(index int) bool {
	t := &s.Tasks[index]
	return !t.done && len(t.runs) == 0 && !s.Job.Final()
}

// Checkpoint returns the value that the next run of a task resumes from, or "".
func (s *StepRun) Checkpoint(index int) string {
	if s.Spec.Gang {
		return s.gangCheckpoint
	}
	return s.Tasks[index].checkpoint
}

// SaveCheckpoint notes the newest checkpoint of a running task.
func (s *StepRun) SaveCheckpoint(index int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if s.Spec.Gang {
		s.gangCheckpoint = checkpoint
		return
	}
	s.Tasks[index].checkpoint = checkpoint
}

// Failures returns how many runs of a task, or of its gang, have failed.
func (s *StepRun) Failures(index int) int {
	if s.Spec.Gang {
		return s.gangFailures
	}
	return s.Tasks[index].failures
}

// BeginRun notes that a run of a task is being ordered and returns its number.
func (s *StepRun) BeginRun(index int, endpoint string, incarnation int64) int {
	t := &s.Tasks[index]
	t.number++
	s.begin(t, endpoint, incarnation)
	return t.number
}

// BeginGang notes that a run of all tasks is being ordered. place gives the
// endpoint of each task. All members share the number returned.
func (s *StepRun) BeginGang(place func(index int) (endpoint string, incarnation int64)) int {
	number := 0
	for i := range s.Tasks {
		number = max(number, s.Tasks[i].number)
	}
	number++
	for i := range s.Tasks {
		t := &s.Tasks[i]
		t.number = number
		endpoint, incarnation := place(i)
		s.begin(t, endpoint, incarnation)
	}
	return number
}

func (s *StepRun) begin(t *Task, endpoint string, incarnation int64) {
	t.runs = append(t.runs, Run{Number: t.number, Endpoint: endpoint, Incarnation: incarnation})
	s.Job.begun = true
}

// Runs returns the runs of a task that aren't known to have ended. The caller
// doesn't change them.
func (s *StepRun) Runs(index int) []Run { return s.Tasks[index].runs }

// TaskDone reports whether a task is done.
func (s *StepRun) TaskDone(index int) bool { return s.Tasks[index].done }

// Number returns the number of the last run of a task; 0 if none was ordered.
func (s *StepRun) Number(index int) int { return s.Tasks[index].number }

// Raise lets the next run of a task have a number above the given one.
func (s *StepRun) Raise(index, number int) {
	t := &s.Tasks[index]
	t.number = max(t.number, number)
}

// Finish notes the end of a run. attempts is how many failed runs a task may
// have before its job has failed; 0 means any number. It reports false for a
// run that isn't known, which changes nothing.
func (s *StepRun) Finish(index, number int, end End, checkpoint string, attempts int, now time.Time) bool {
	t := &s.Tasks[index]
	if !t.remove(number) {
		return false
	}
	s.SaveCheckpoint(index, checkpoint)
	if t.done || s.Job.Final() {
		return true
	}
	switch end {
	case EndDone:
		s.succeed(index, now)
	case EndFailed:
		s.fail(index, number, attempts, now)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndLost, EndNeverRan:
	}
	return true
}

// remove drops a run of the task and reports whether it was there.
func (t *Task) remove(number int) bool {
	for i := range t.runs {
		if t.runs[i].Number == number {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return true
		}
	}
	return false
}

// succeed notes that a task is done; one member stands for its whole gang.
func (s *StepRun) succeed(index int, now time.Time) {
	if s.Spec.LongRunning {
		return
	}
	if s.Spec.Gang {
		for i := range s.Tasks {
			s.Tasks[i].done = true
		}
		s.open = 0
	} else {
		s.Tasks[index].done = true
		s.open--
	}
	if s.open == 0 {
		s.Job.closeStep(s.Occurrence, now)
	}
}

// fail counts a failed run and ends the job after too many.
func (s *StepRun) fail(index, number, attempts int, now time.Time) {
	if s.Spec.LongRunning {
		return
	}
	if !s.Spec.Gang {
		s.Tasks[index].failures++
	} else if number != s.gangFailed {
		s.gangFailed = number
		s.gangFailures++
	}
	if attempts > 0 && s.Failures(index) >= attempts {
		s.Job.end(StateFailed, now)
	}
}
