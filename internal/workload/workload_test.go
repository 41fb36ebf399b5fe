package workload

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func step(count int, after ...int) Step {
	return Step{Count: count, Size: resource.Vector{MilliCores: 500, MemoryMB: 64}, Estimate: time.Second, After: after}
}

func job(steps ...Step) *Job {
	j := NewJob("00000000000000aa", "q", "c", epoch, Spec{Payload: "x", Steps: steps})
	j.OpenNext()
	return j
}

func TestParseTaskID(t *testing.T) {
	want := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 0, Step: 1, Index: 17}
	if got, ok := ParseTaskID(want.String()); !ok || got != want {
		t.Errorf("%s is parsed as %v, %v", want, got, ok)
	}
	for _, text := range []string{"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.", "5c0e7a21d94b36f8..1.2",
		"5c0e7a21d94b36f8.0.1.2.3", "5C0e7a21d94b36f8.0.1.2", "5c0e7a21d94b36f8.0.1.-2", "5c0e7a21d94b36f8.0.1.99999999999"} {
		if got, ok := ParseTaskID(text); ok {
			t.Errorf("%q is parsed as %v", text, got)
		}
	}
}

func TestValidate(t *testing.T) {
	for name, spec := range map[string]Spec{
		"no steps":       {},
		"no tasks":       {Steps: []Step{step(0)}},
		"too many tasks": {Steps: []Step{step(MaxTasks), step(1)}},
		"unknown step":   {Steps: []Step{step(1, 4)}},
		"itself":         {Steps: []Step{step(1, 0)}},
		"cycle":          {Steps: []Step{step(1, 1), step(1, 2), step(1, 0)}},
		"negative size":  {Steps: []Step{{Count: 1, Size: resource.Vector{MemoryMB: -1}}}},
		"long label":     {Steps: []Step{{Count: 1, RequiredLabel: strings.Repeat("x", MaxNameBytes+1)}}},
		"long rack":      {Steps: []Step{{Count: 1, PreferredRack: strings.Repeat("x", MaxNameBytes+1)}}},
		"long image":     {Steps: []Step{{Count: 1, Image: strings.Repeat("x", MaxNameBytes+1)}}},
		"after":          {Steps: []Step{step(1), step(1, make([]int, MaxSteps+1)...)}},
		"payload":        {Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{step(1)}},
		"times":          {Steps: []Step{step(1)}, Recurrence: &Recurrence{Times: 0}},
		"interval":       {Steps: []Step{step(1)}, Recurrence: &Recurrence{Times: 2, Interval: -1}},
	} {
		var fault *InvalidError
		if err := spec.Validate(); !errors.As(err, &fault) {
			t.Errorf("%s: error %v, want an *InvalidError", name, err)
		}
	}
	good := Spec{Steps: []Step{step(2), step(1, 0), step(1, 0), step(1, 1, 2)}}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
}

func TestStepsInOrder(t *testing.T) {
	j := job(step(2), step(1, 0))
	first, second := j.Live()[0].Steps[0], j.Live()[0].Steps[1]
	if !first.Ready() || second.Ready() {
		t.Fatal("the second step is ready before the first is done")
	}
	for i := range 2 {
		n := first.BeginRun(i, "e1", 7)
		if i == 0 && j.State() != StateQueued {
			t.Errorf("state is %s before the endpoint has confirmed the first run", j.State())
		}
		j.MarkBegun()
		if j.State() != StateRunning {
			t.Errorf("state is %s while a task runs", j.State())
		}
		first.FinishRun(i, n, EndDone, "", 2, epoch)
	}
	if !second.Ready() {
		t.Fatal("the second step is not ready after the first is done")
	}
	second.FinishRun(0, second.BeginRun(0, "e1", 7), EndDone, "", 2, epoch)
	if j.State() != StateCompleted {
		t.Errorf("state is %s after all tasks are done", j.State())
	}
}

func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	j := job(step(1))
	s := j.Live()[0].Steps[0]
	for _, end := range []End{EndStopped, EndLapsed, EndLost, EndNeverRan, EndUnheard, EndFailed, EndStopped} {
		s.FinishRun(0, s.BeginRun(0, "e1", 7), end, "", 2, epoch)
		if j.Final() {
			t.Fatalf("the job failed after the end %q of a run", end)
		}
	}
	s.FinishRun(0, s.BeginRun(0, "e1", 7), EndFailed, "", 2, epoch)
	if j.State() != StateFailed {
		t.Errorf("state is %s after two failed runs, of two attempts", j.State())
	}
}

// TestEndsThatProveARun guards against a job that is reported as begun because a run of
// it was given up that may never have begun.
func TestEndsThatProveARun(t *testing.T) {
	for end, want := range map[End]struct{ single, gang bool }{
		EndDone: {true, true}, EndFailed: {true, true},
		EndStopped: {single: true}, EndLapsed: {single: true},
		EndBroken: {}, EndAlone: {}, EndLost: {}, EndNeverRan: {}, EndUnheard: {},
	} {
		for gang, begun := range map[bool]bool{false: want.single, true: want.gang} {
			spec := step(2)
			spec.Gang = gang
			j := job(spec, step(1))
			s := j.Live()[0].Steps[0]
			number := s.BeginRun(0, "e1", 7)
			if !j.Waiting() || j.State() != StateQueued {
				t.Errorf("a run was ordered: the job is %s", j.State())
			}
			s.FinishRun(0, number, end, "", 2, epoch)
			if j.Waiting() == begun {
				t.Errorf("after the end %q of a run, gang %v: the job waits: %v", end, gang, j.Waiting())
			}
		}
	}
}

func TestGangCountsOneFailurePerRun(t *testing.T) {
	gang := step(3)
	gang.Gang = true
	j := job(gang)
	s := j.Live()[0].Steps[0]
	place := func(int) (string, int64) { return "e1", 7 }
	n := s.BeginGang(place)
	s.FinishRun(0, n, EndFailed, "", 2, epoch)
	s.FinishRun(1, n, EndFailed, "", 2, epoch)
	s.FinishRun(2, n, EndBroken, "", 2, epoch)
	if j.Final() {
		t.Fatal("two failed members of one run are counted as two failures")
	}
	n = s.BeginGang(place)
	s.FinishRun(1, n, EndDone, "", 2, epoch)
	if j.State() != StateCompleted {
		t.Errorf("state is %s after the success of a member", j.State())
	}
}

func TestGangNumbersAreEqualAndRise(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	s := job(gang).Live()[0].Steps[0]
	s.RaiseRunNumber(1, 5)
	n := s.BeginGang(func(int) (string, int64) { return "e1", 7 })
	if n != 6 || s.LastRunNumber(0) != 6 || s.LastRunNumber(1) != 6 {
		t.Errorf("run %d, numbers %d and %d; want 6", n, s.LastRunNumber(0), s.LastRunNumber(1))
	}
}

func TestRecurrence(t *testing.T) {
	j := NewJob("00000000000000aa", "q", "c", epoch, Spec{
		Steps:      []Step{step(1)},
		Recurrence: &Recurrence{Times: 2, First: epoch.Add(time.Second), Interval: time.Minute},
	})
	for k := range 2 {
		due, ok := j.NextDue()
		if want := epoch.Add(time.Second + time.Duration(k)*time.Minute); !ok || !due.Equal(want) {
			t.Fatalf("occurrence %d is due at %s, %v; want %s", k, due, ok, want)
		}
		s := j.OpenNext().Steps[0]
		s.FinishRun(0, s.BeginRun(0, "e1", 7), EndDone, "", 2, epoch)
	}
	if _, ok := j.NextDue(); ok || j.State() != StateCompleted {
		t.Errorf("state is %s after both occurrences", j.State())
	}
}

func TestLongestChain(t *testing.T) {
	s := Spec{Steps: []Step{step(1), step(1, 0), step(1)}}
	if got := s.Chains(time.Millisecond).Longest; got != 2*time.Second+2*time.Millisecond {
		t.Errorf("longest chain is %s", got)
	}
	if got := s.Chains(0).From[1]; got != time.Second {
		t.Errorf("chain from step 1 is %s", got)
	}
}

// layeredSpec returns a spec whose steps depend on all steps of the layer before.
func layeredSpec(layers, width int, estimate time.Duration) Spec {
	var s Spec
	for layer := range layers {
		for range width {
			next := step(1)
			next.Estimate = estimate
			for i := range width {
				if layer > 0 {
					next.After = append(next.After, (layer-1)*width+i)
				}
			}
			s.Steps = append(s.Steps, next)
		}
	}
	return s
}

// TestChainsOfLayeredSteps guards against a holder that never finishes computing
// the chains of an accepted job: 20 layers of 4 steps have 4^19 paths from the
// first layer to the last. Steps without an estimate count as well.
func TestChainsOfLayeredSteps(t *testing.T) {
	for estimate, want := range map[time.Duration]time.Duration{0: 0, time.Second: 20 * time.Second, MaxSpan: MaxSpan} {
		s := layeredSpec(20, 4, estimate)
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		done := make(chan Chains, 1)
		go func() { done <- s.Chains(0) }()
		select {
		case c := <-done:
			if c.Longest != want || c.From[0] != want {
				t.Errorf("with estimates of %s the longest chain is %s, from the first step %s; want %s", estimate, c.Longest, c.From[0], want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("the chains of 80 steps with estimates of %s are not computed within 5 s", estimate)
		}
	}
}

// jobLog holds the newest records of a job, as the log does.
type jobLog struct {
	admission []byte
	progress  map[RecordName][]byte
}

// save stores the changed records of a job.
func (l *jobLog) save(t require, j *Job) {
	records, err := j.EncodeProgress()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if len(r.Data) == 0 {
			delete(l.progress, r.Name)
			continue
		}
		l.progress[r.Name] = r.Data
	}
}

// load decodes the job from its records.
func (l *jobLog) load(t require, id ID) *Job {
	j, err := DecodeAdmission(id, l.admission)
	if err != nil {
		t.Fatal(err)
	}
	if len(l.progress) == 0 {
		return j
	}
	if err := j.Restore(l.progress); err != nil {
		t.Fatal(err)
	}
	return j
}

// headName is the name of the record about the job itself.
var headName = RecordName{Occurrence: wholeJob}

// require is what testing.T and rapid.T have in common.
type require interface{ Fatal(args ...any) }

func newJobLog(t require, j *Job) *jobLog {
	admission, err := j.EncodeAdmission()
	if err != nil {
		t.Fatal(err)
	}
	return &jobLog{admission: admission, progress: make(map[RecordName][]byte)}
}

// TestRecordsRoundTrip applies random changes to a job, saves it between them,
// and checks that decoding its records returns an equal job.
func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		log := newJobLog(t, j)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			randomChange(t, j)
			switch rapid.IntRange(0, 5).Draw(t, "save") {
			case 0:
				log.save(t, j)
			case 1:
				// The next holder continues with the job.
				log.save(t, j)
				if !j.Final() {
					begun := j.begun
					j = log.load(t, j.ID)
					j.begun = begun
				}
			}
		}
		log.save(t, j)
		if j.Final() {
			decoded, ok, err := DecodeFinalJob(j.ID, log.progress)
			if err != nil || !ok || decoded.State() != j.State() || decoded.Customer != j.Customer {
				t.Fatalf("final job is decoded as %v, %v, %v", decoded, ok, err)
			}
			if len(log.progress) > 1 && !j.HasUnfinishedRuns() {
				t.Fatalf("a job that has ended keeps %d records", len(log.progress))
			}
			return
		}
		decoded := log.load(t, j.ID)
		forgetDoneSteps(j)
		if decoded.begun && !j.begun {
			t.Fatal("the decoded job has begun, the encoded one has not")
		}
		// Records don't say of every job whether it has begun; reports do.
		decoded.begun = j.begun
		same := cmp.Options{
			cmp.AllowUnexported(Job{}, Occurrence{}, StepRun{}, Task{}), cmpopts.EquateEmpty(),
			// What was saved is no part of the job's state; the records are compared.
			cmpopts.IgnoreFields(Job{}, "saved"), cmpopts.IgnoreFields(Occurrence{}, "changed", "stored"),
		}
		if diff := cmp.Diff(j, decoded, same); diff != "" {
			t.Fatal(diff)
		}
		if records, err := decoded.EncodeProgress(); err != nil || len(records) > 0 {
			t.Fatalf("a job that has just been decoded has %d changed records, %v", len(records), err)
		}
	})
}

// TestRecurringJobStateAfterDecoding guards against a recurring job that is
// reported as queued after decoding, because its first occurrence is done and
// its second is not due yet.
func TestRecurringJobStateAfterDecoding(t *testing.T) {
	spec := Spec{Steps: []Step{step(1)}, Recurrence: &Recurrence{Times: 2, First: epoch, Interval: time.Minute}}
	j := NewJob("00000000000000aa", "q", "c", epoch, spec)
	s := j.OpenNext().Steps[0]
	s.FinishRun(0, s.BeginRun(0, "e", 1), EndDone, "", 3, epoch)
	log := newJobLog(t, j)
	log.save(t, j)
	if decoded := log.load(t, j.ID); decoded.State() != j.State() || j.State() == StateQueued {
		t.Errorf("state %s after decoding, was %s", decoded.State(), j.State())
	}
}

// TestOccurrencesInOneRecordAreRead decodes a recurring job whose live occurrences
// are in the record about the job, as earlier versions stored them.
func TestOccurrencesInOneRecordAreRead(t *testing.T) {
	j := NewJob("00000000000000aa", "q", "c", epoch, Spec{Steps: []Step{step(2)}, Recurrence: &Recurrence{Times: 3, First: epoch}})
	log := newJobLog(t, j)
	p := progress{Version: recordVersion}
	for range 2 {
		o := j.OpenNext()
		o.Steps[0].BeginRun(1, "e1", 7)
		p.Live = append(p.Live, newOccurrenceProgress(o))
	}
	p.Opened = j.opened
	var err error
	if log.progress[headName], err = cbor.Marshal(p); err != nil {
		t.Fatal(err)
	}
	decoded := log.load(t, j.ID)
	log.save(t, decoded)
	if len(log.progress) != 3 {
		t.Fatalf("%d records, want one about the job and two about its occurrences", len(log.progress))
	}
	for _, o := range log.load(t, j.ID).Live() {
		if runs := o.Steps[0].Runs(1); len(runs) != 1 || runs[0].Endpoint != "e1" {
			t.Errorf("the runs of occurrence %d are %v", o.Index, runs)
		}
	}
}

// TestAdmissionFitsTheLog guards against a submission whose admission the log doesn't
// take: the append would end the term of each holder that gets it.
func TestAdmissionFitsTheLog(t *testing.T) {
	name := strings.Repeat("n", MaxNameBytes)
	spec := Spec{
		Payload:    strings.Repeat("p", MaxPayloadBytes),
		Recurrence: &Recurrence{Times: MaxOccurrences, First: epoch, Interval: time.Minute},
	}
	for i := range MaxSteps {
		s := step(MaxTasks / MaxSteps)
		s.RequiredLabel, s.PreferredRack, s.Image = name, name, name
		for before := range i {
			s.After = append(s.After, before)
		}
		spec.Steps = append(spec.Steps, s)
	}
	if err := spec.Validate(); err != nil {
		t.Fatal(err)
	}
	data, err := NewJob("00000000000000aa", name, name, epoch, spec).EncodeAdmission()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 262_144 {
		t.Errorf("the admission has %d bytes", len(data))
	}
}

// TestStoredJobBeyondLengthsIsRead guards against an accepted job that is lost because
// a later version refuses to read it: lengths are bounded when a job is submitted.
func TestStoredJobBeyondLengthsIsRead(t *testing.T) {
	for name, s := range map[string]Step{
		"label": {Count: 1, RequiredLabel: strings.Repeat("x", MaxNameBytes+1)},
		"after": {Count: 1, After: make([]int, MaxSteps+1)},
	} {
		stored := NewJob("00000000000000aa", "q", "c", epoch, Spec{Steps: []Step{step(1), s}})
		data, err := stored.EncodeAdmission()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeAdmission(stored.ID, data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if stored.Spec.Validate() == nil {
			t.Errorf("%s: a submission of the job is accepted", name)
		}
	}
}

func TestRecordNames(t *testing.T) {
	for _, n := range []RecordName{headName, {Occurrence: 0}, {Occurrence: 999_999}, {Occurrence: 7, Part: 4}} {
		if got, ok := ParseRecordName(n.String()); !ok || got != n {
			t.Errorf("%q is parsed as %+v, %v", n, got, ok)
		}
	}
	for _, text := range []string{".", "1", ".x", ".1.", ".1.0", ".-1", ".01", ".1.2.3", ".99999999999999999999"} {
		if got, ok := ParseRecordName(text); ok {
			t.Errorf("%q is parsed as %+v", text, got)
		}
	}
}

// TestRecordsFitTheLog guards against a job whose state the log doesn't take. The
// users' platform takes 262,144 bytes a record and 2 MB a call. The job has all
// occurrences live that may be, every task has run and runs again, and all strings
// are as long as allowed. A longer checkpoint, which an endpoint may report, is not
// kept.
func TestRecordsFitTheLog(t *testing.T) {
	const (
		recordBytes, callBytes = 262_144, 2 << 20
		maxEndpointID          = 100
	)
	endpoint, checkpoint := strings.Repeat("e", maxEndpointID), strings.Repeat("c", MaxCheckpointBytes)
	tooLong := strings.Repeat("x", 300_000)
	checkpointing := func(count int) Step {
		s := step(count)
		s.Checkpoints = true
		return s
	}
	var many []Step
	for range MaxSteps {
		many = append(many, checkpointing(MaxTasks/MaxSteps))
	}
	for name, spec := range map[string]Spec{
		"once, as many tasks as allowed":   {Steps: []Step{checkpointing(MaxTasks)}},
		"once, many steps":                 {Steps: many},
		"schedule, one task":               {Steps: []Step{checkpointing(1)}},
		"schedule, ten steps":              {Steps: many[:10]},
		"schedule, as many tasks":          {Steps: []Step{checkpointing(MaxTasks)}},
		"schedule, many steps of one task": {Steps: slices.Repeat([]Step{checkpointing(1)}, MaxSteps)},
	} {
		t.Run(name, func(t *testing.T) {
			if name[:4] != "once" {
				spec.Recurrence = &Recurrence{Times: MaxOccurrences, First: epoch}
			}
			j := NewJob("00000000000000aa", "q", "c", epoch, spec)
			for _, ok := j.NextDue(); ok && j.MayOpen(); _, ok = j.NextDue() {
				for _, s := range j.OpenNext().Steps {
					for i := range s.Tasks {
						number := s.BeginRun(i, endpoint, 1_790_000_000_000)
						s.FinishRun(i, number, EndFailed, checkpoint, 0, epoch)
						s.SaveCheckpoint(i, tooLong)
						s.RaiseRunNumber(i, 300)
						s.BeginRun(i, endpoint, 1_790_000_000_000)
					}
				}
			}
			records, err := j.EncodeProgress()
			if err != nil {
				t.Fatal(err)
			}
			total := 0
			for _, r := range records {
				total += len(r.Data)
				if len(r.Data) > recordBytes {
					t.Errorf("the record %q has %d bytes", r.Name, len(r.Data))
				}
			}
			if total > callBytes {
				t.Errorf("%d records have %d bytes", len(records), total)
			}
			t.Logf("%d occurrences are live, %d bytes in %d records", len(j.Live()), total, len(records))
			log := newJobLog(t, j)
			for _, r := range records {
				log.progress[r.Name] = r.Data
			}
			decoded := log.load(t, j.ID)
			for k, o := range decoded.Live() {
				for i, s := range o.Steps {
					if diff := cmp.Diff(j.Live()[k].Steps[i].Tasks, s.Tasks, cmp.AllowUnexported(Task{})); diff != "" {
						t.Fatalf("occurrence %d, step %d: %s", o.Index, i, diff)
					}
				}
			}
		})
	}
}

// forgetDoneSteps clears the state of done steps that is not stored.
func forgetDoneSteps(j *Job) {
	for _, o := range j.Live() {
		for _, s := range o.Steps {
			if !s.Done() {
				continue
			}
			for i := range s.Tasks {
				s.Tasks[i] = Task{done: true}
			}
		}
	}
}

func drawJob(t *rapid.T) *Job {
	var spec Spec
	for i := range rapid.IntRange(1, 3).Draw(t, "count") {
		s := step(rapid.IntRange(1, 4).Draw(t, "tasks"))
		s.Gang = rapid.Bool().Draw(t, "gang")
		if i > 0 && rapid.Bool().Draw(t, "chained") {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if rapid.Bool().Draw(t, "recurs") {
		spec.Recurrence = &Recurrence{Times: 2, First: epoch, Interval: time.Minute}
	}
	return NewJob("00000000000000aa", "q", "c", epoch, spec)
}

// randomChange makes one random change to a job.
func randomChange(t *rapid.T, j *Job) {
	if _, ok := j.NextDue(); ok && rapid.Bool().Draw(t, "open") {
		j.OpenNext()
		return
	}
	if len(j.Live()) == 0 {
		return
	}
	o := j.Live()[rapid.IntRange(0, len(j.Live())-1).Draw(t, "occurrence")]
	s := o.Steps[rapid.IntRange(0, len(o.Steps)-1).Draw(t, "step")]
	i := rapid.IntRange(0, len(s.Tasks)-1).Draw(t, "task")
	if runs := s.Runs(i); len(runs) > 0 {
		end := End(rapid.IntRange(int(EndDone), int(EndNeverRan)).Draw(t, "end"))
		s.FinishRun(i, runs[0].Number, end, rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "checkpoint"), 3, epoch)
		return
	}
	switch {
	case s.Done() || !s.Ready():
	case s.Spec.Gang:
		for k := range s.Tasks {
			if len(s.Runs(k)) > 0 {
				return
			}
		}
		s.BeginGang(func(k int) (string, int64) { return fmt.Sprint("e", k), int64(k) })
	case s.Pending(i):
		s.BeginRun(i, "e1", 7)
	}
}
