package job

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// testJob returns a job with the given number of tasks and empty inputs.
func testJob(id string, tasks int) record.Job {
	return record.Job{ID: id, Team: "red", Ticket: "ticket-" + id, Inputs: make([][]byte, tasks)}
}

func TestAccept(t *testing.T) {
	big := testJob("big", 1)
	big.Inputs[0] = make([]byte, MaxJobBytes)
	sameTicket := testJob("other", 1)
	sameTicket.Ticket = "ticket-a"
	otherTeam := sameTicket
	otherTeam.Team = "blue"
	cancelled := testJob("a", 2)
	cancelled.Cancelled = true
	tests := []struct {
		name string
		job  record.Job
		void record.VoidKind
	}{
		{"new", testJob("a", 2), ""},
		{"same id", testJob("a", 2), record.VoidDuplicate},
		{"same ticket", sameTicket, record.VoidDuplicate},
		{"same ticket of another team", otherTeam, ""},
		{"no tasks", testJob("b", 0), record.VoidInvalid},
		{"too many tasks", testJob("b", MaxTasks+1), record.VoidInvalid},
		{"too large", big, record.VoidInvalid},
		{"no id", testJob("", 1), record.VoidInvalid},
		{"cancelled", cancelled, ""},
		{"cancelled again", cancelled, record.VoidDuplicate},
	}
	s := NewStore("z")
	for _, test := range tests {
		err := s.Accept([]record.Job{test.job})[test.job.ID]
		var kind record.VoidKind
		if void, ok := err.(*record.Void); ok { //nolint:errorlint // the store returns it unwrapped
			kind = void.Kind
		}
		if kind != test.void {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if j, _ := s.Job("a"); !j.Spec.Cancelled || j.Unfinished != 2 {
		t.Errorf("job a is %+v", j)
	}
}

func TestOnlyFirstOutcomeIsRecorded(t *testing.T) {
	s := NewStore("z")
	s.Accept([]record.Job{testJob("a", 2)})
	before, _ := s.Job("a")
	recorded := s.Record([]record.Outcome{
		{Job: "a", Index: 0, State: "running"},
		{Job: "a", Index: 0, State: StateUnknown},
		{Job: "a", Index: 0, State: StateDone},
		{Job: "a", Index: 2, State: StateDone},
		{Job: "a", Index: -1, State: StateDone},
		{Job: "b", Index: 0, State: StateDone},
		{Job: "a", Index: 1, State: StateDone},
	})
	after, _ := s.Job("a")
	if o, _ := after.Outcome(0); recorded != 2 || !after.Finished() || o.State != StateUnknown {
		t.Errorf("%d outcomes recorded, job %+v", recorded, after)
	}
	if before.Unfinished != 2 || before.Spec.Inputs == nil {
		t.Error("a job that was returned to a caller has changed")
	}
	if len(s.Open()) != 0 || s.Accept([]record.Job{testJob("a", 2)}) == nil {
		t.Error("a finished job was accepted again")
	}
}

func TestOutputsAreBounded(t *testing.T) {
	s := NewStore("z")
	s.Accept([]record.Job{testJob("a", 6)})
	for i, size := range []int{MaxOutputBytes + 1, MaxOutputBytes, MaxOutputBytes, MaxOutputBytes, MaxOutputBytes, 1} {
		s.Record([]record.Outcome{{Job: "a", Index: i, State: StateDone, Output: make([]byte, size)}})
	}
	j, _ := s.Job("a")
	for i, truncated := range []bool{true, false, false, false, false, true} {
		if o, _ := j.Outcome(i); o.Truncated != truncated || (o.Output == nil) != truncated {
			t.Errorf("task %d: truncated %v, %d bytes", i, o.Truncated, len(o.Output))
		}
	}
}

func TestFinishedJobsAreBounded(t *testing.T) {
	s := NewStore("z")
	output := bytes.Repeat([]byte{1}, 16<<10)
	for i := range 2 * MaxFinished {
		id := fmt.Sprint(i)
		s.Accept([]record.Job{testJob(id, 1)})
		outcome := record.Outcome{Job: id, State: StateDone}
		if i >= MaxFinished+10 {
			outcome.Output = output
		}
		s.Record([]record.Outcome{outcome})
		if _, ok := s.ByTicket("red", "ticket-"+id); !ok {
			t.Fatalf("job %s, the last one finished, was evicted", id)
		}
		if len(s.Finished()) > MaxFinished || s.finishedBytes > MaxFinishedBytes || len(s.tickets) != len(s.finished) {
			t.Fatalf("%d finished jobs of %d bytes, %d tickets", len(s.Finished()), s.finishedBytes, len(s.tickets))
		}
	}
}

func TestRestore(t *testing.T) {
	s := NewStore("z")
	for i := range 20 {
		s.Accept([]record.Job{testJob(fmt.Sprint(i), 1+i%3)})
	}
	for i := range 20 {
		s.Record([]record.Outcome{{Job: fmt.Sprint(19 - i), Index: 0, State: StateDone, Output: []byte("out")}})
	}
	var open, finished []record.Job
	var outcomes []record.Outcome
	for _, j := range append(s.Open(), s.Finished()...) {
		for _, o := range j.Outcomes {
			if o != nil {
				outcomes = append(outcomes, *o)
			}
		}
	}
	for _, j := range s.Open() {
		open = append(open, j.Spec)
	}
	for _, j := range s.Finished() {
		finished = append(finished, j.Spec)
	}
	restored, err := Restore("z", open, finished, outcomes)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Restore("z", open, finished, nil); err == nil {
		t.Error("finished jobs without outcomes were restored")
	}
	ignore := cmpopts.IgnoreFields(Job{}, "sequence")
	unexported := cmp.AllowUnexported(Store{}, Job{}, ticketKey{})
	if diff := cmp.Diff(s, restored, unexported, ignore, cmpopts.IgnoreFields(Store{}, "sequence")); diff != "" {
		t.Error(diff)
	}
}
