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
	// gangFailures counts the failed runs of a gang. lastFailedGangRun is the
	// number of the latest of them; it prevents several failed members of one
	// run from being counted separately.
	gangFailures      int
	lastFailedGangRun int
	// gangCheckpoint is the newest checkpoint of any member.
	gangCheckpoint string
}

// Task is the state of one task.
type Task struct {
	done bool
	// lastRunNumber is the number of the last run that was ordered.
	lastRunNumber int
	failures      int
	checkpoint    string
	runs          []Run
}

// Run is an execution of a task that was ordered and is not known to have
// ended.
type Run struct {
	Number int
	// Endpoint and Incarnation identify where the task runs.
	Endpoint    string
	Incarnation int64
}

// End is the way in which a run ended.
type End int

// Ends of a run.
const (
	// EndDone is success.
	EndDone End = iota
	// EndFailed is a failure of the task or its endpoint. Only these ends count
	// as attempts.
	EndFailed
	// EndStopped is the end after a stop order.
	EndStopped
	// EndLapsed is the end by expiry of the endpoint's lease, the time until
	// which the endpoint may run tasks unless an order extends it. The endpoint
	// has reported the run before, or its end.
	EndLapsed
	// EndBroken is the end caused by the end of another member of the gang.
	EndBroken
	// EndAlone is the end of a gang member whose wait for the other members was
	// in vain.
	EndAlone
	// EndLost is the end of a run of which its endpoint has no record, for
	// example after a restart.
	EndLost
	// EndNeverRan is the end of a run that was ordered and is known never to
	// have started.
	EndNeverRan
	// EndUnheard is the end by expiry of the lease of a run that its endpoint
	// never reported. Whether it had begun is not known.
	EndUnheard
)

// String returns the end's name as used in logs.
func (e End) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "never ran", "unheard"}[e]
}

// ID returns the ID of a task of the step.
func (s *StepRun) ID(index int) TaskID {
	return TaskID{Job: s.Job.ID, Occurrence: s.Occurrence.Index, Step: s.Index, Index: index}
}

// Name returns the step's name, ID.occurrence.step.
func (s *StepRun) Name() string { return s.ID(0).StepName() }

// Done reports whether all tasks of the step are done.
func (s *StepRun) Done() bool { return s.open == 0 }

// OpenTasks returns the number of tasks that are not done.
func (s *StepRun) OpenTasks() int { return s.open }

// Pending reports whether a task waits for a run to be ordered.
func (s *StepRun) Pending(index int) bool {
	t := &s.Tasks[index]
	return !t.done && len(t.runs) == 0 && !s.Job.Final()
}

// Checkpoint returns the checkpoint from which the next run of a task resumes,
// or "".
func (s *StepRun) Checkpoint(index int) string {
	if s.Spec.Gang {
		return s.gangCheckpoint
	}
	return s.Tasks[index].checkpoint
}

// SaveCheckpoint records the newest checkpoint of a running task. A checkpoint that
// is empty or too long to be stored is ignored.
func (s *StepRun) SaveCheckpoint(index int, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > MaxCheckpointBytes {
		return
	}
	s.Job.begun = true
	s.Occurrence.changed = true
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

// BeginRun records that a run of a task is being ordered and returns its
// number.
func (s *StepRun) BeginRun(index int, endpoint string, incarnation int64) int {
	t := &s.Tasks[index]
	t.lastRunNumber++
	s.begin(t, endpoint, incarnation)
	return t.lastRunNumber
}

// BeginGang records that a run of all tasks is being ordered. place returns the
// endpoint of each task. It returns the number of the run, which all members
// share.
func (s *StepRun) BeginGang(place func(index int) (endpoint string, incarnation int64)) int {
	number := 0
	for i := range s.Tasks {
		number = max(number, s.Tasks[i].lastRunNumber)
	}
	number++
	for i := range s.Tasks {
		t := &s.Tasks[i]
		t.lastRunNumber = number
		endpoint, incarnation := place(i)
		s.begin(t, endpoint, incarnation)
	}
	return number
}

func (s *StepRun) begin(t *Task, endpoint string, incarnation int64) {
	t.runs = append(t.runs, Run{Number: t.lastRunNumber, Endpoint: endpoint, Incarnation: incarnation})
	s.Occurrence.changed = true
}

// Runs returns the runs of a task that are not known to have ended. The caller
// must not modify them.
func (s *StepRun) Runs(index int) []Run { return s.Tasks[index].runs }

// TaskDone reports whether a task is done.
func (s *StepRun) TaskDone(index int) bool { return s.Tasks[index].done }

// LastRunNumber returns the number of a task's last run; 0 if none was ordered.
func (s *StepRun) LastRunNumber(index int) int { return s.Tasks[index].lastRunNumber }

// RaiseRunNumber ensures that the next run of a task has a higher number than
// the given one.
func (s *StepRun) RaiseRunNumber(index, number int) {
	t := &s.Tasks[index]
	t.lastRunNumber = max(t.lastRunNumber, number)
	s.Occurrence.changed = true
}

// ResumeRun records that a run which was given up is on an endpoint all the same.
func (s *StepRun) ResumeRun(index, number int, endpoint string, incarnation int64) {
	s.RaiseRunNumber(index, number)
	t := &s.Tasks[index]
	t.runs = append(t.runs, Run{Number: number, Endpoint: endpoint, Incarnation: incarnation})
}

// FinishRun records the end of a run. attempts is the number of failed runs of a
// task that makes its job fail; 0 means unlimited. It reports false for an
// unknown run, which has no effect.
func (s *StepRun) FinishRun(index, number int, end End, checkpoint string, attempts int, now time.Time) bool {
	t := &s.Tasks[index]
	if !t.remove(number) {
		return false
	}
	s.Occurrence.changed = true
	s.SaveCheckpoint(index, checkpoint)
	if s.provesBegun(end) {
		s.Job.begun = true
	}
	if t.done || s.Job.Final() {
		return true
	}
	switch end {
	case EndDone:
		s.succeed(index, now)
	case EndFailed:
		s.fail(index, number, attempts, now)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndLost, EndNeverRan, EndUnheard:
		if s.exhausted(index, attempts) {
			s.Job.finish(StateFailed, now)
		}
	}
	return true
}

// provesBegun reports whether a run with this end certainly worked on its task. A
// member of a gang may have waited for the others until its end.
func (s *StepRun) provesBegun(end End) bool {
	switch end {
	case EndDone, EndFailed:
		return true
	case EndStopped, EndLapsed:
		return !s.Spec.Gang
	case EndBroken, EndAlone, EndLost, EndNeverRan, EndUnheard:
	}
	return false
}

// FailExhausted fails the job if a task of the step waits for a run that it may not
// have, because it, or its gang, has failed attempts times. It reports whether it did.
// That happens if the limit was not known at the failure, or is lower now.
func (s *StepRun) FailExhausted(attempts int, now time.Time) bool {
	for i := range s.Tasks {
		if s.exhausted(i, attempts) {
			return s.Job.finish(StateFailed, now)
		}
	}
	return false
}

// exhausted reports whether a task waits for a run although it has no attempt left.
func (s *StepRun) exhausted(index, attempts int) bool {
	return attempts > 0 && !s.Spec.LongRunning && s.Pending(index) && s.Failures(index) >= attempts
}

// remove removes a run of the task and reports whether it was present.
func (t *Task) remove(number int) bool {
	for i := range t.runs {
		if t.runs[i].Number == number {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return true
		}
	}
	return false
}

// succeed records that a task is done. The success of one gang member completes
// the whole gang.
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
		s.Job.stepDone(s.Occurrence, now)
	}
}

// fail counts a failed run and fails the job after too many.
func (s *StepRun) fail(index, number, attempts int, now time.Time) {
	if s.Spec.LongRunning {
		return
	}
	if !s.Spec.Gang {
		s.Tasks[index].failures++
	} else if number != s.lastFailedGangRun {
		s.lastFailedGangRun = number
		s.gangFailures++
	}
	if attempts > 0 && s.Failures(index) >= attempts {
		s.Job.finish(StateFailed, now)
	}
}
