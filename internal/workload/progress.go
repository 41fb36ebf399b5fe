package workload

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxPartTasks bounds the tasks in one record. The users' platform takes 262,144
// bytes a record, and a task takes up to 200 of them, or 300 with two runs.
const maxPartTasks = 500

// progress is the record of a job that is stored whenever its state changes. A
// small job that runs once has its occurrence in it. Each live occurrence of other
// jobs has records of its own.
type progress struct {
	_          struct{} `cbor:",toarray"`
	Version    int
	Final      State
	FinishedMS int64
	// Queue and Customer are set in final records, because the admission record
	// of the job is dropped.
	Queue    string
	Customer string
	Opened   int
	Live     []occurrenceProgress
}

// occurrenceRecord is a part of a live occurrence: all steps, with the tasks of the
// part only; see partsOf.
type occurrenceRecord struct {
	_          struct{} `cbor:",toarray"`
	Version    int
	Occurrence occurrenceProgress
}

type occurrenceProgress struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Steps []stepProgress
}

type stepProgress struct {
	_              struct{} `cbor:",toarray"`
	Done           bool
	GangFailures   int
	GangFailed     int
	GangCheckpoint string
	// Tasks lists the tasks of which a run was ordered. It is empty for steps
	// that are done.
	Tasks []taskProgress
}

type taskProgress struct {
	_          struct{} `cbor:",toarray"`
	Index      int
	Done       bool
	Number     int
	Failures   int
	Checkpoint string
	Runs       []runProgress
}

type runProgress struct {
	_           struct{} `cbor:",toarray"`
	Number      int
	Endpoint    string
	Incarnation int64
}

// RecordName identifies a record of a job's progress.
type RecordName struct {
	// Occurrence is the index of the occurrence that the record is about, or
	// wholeJob.
	Occurrence int
	// Part numbers the records of an occurrence, starting at 0.
	Part int
}

// wholeJob is the Occurrence of the record about the job itself.
const wholeJob = -1

// String returns the name as it appears in the key of the record, after the job's
// id. It is empty for the record about the job itself.
func (n RecordName) String() string {
	switch {
	case n.Occurrence == wholeJob:
		return ""
	case n.Part == 0:
		return recordSeparator + strconv.Itoa(n.Occurrence)
	default:
		return recordSeparator + strconv.Itoa(n.Occurrence) + recordSeparator + strconv.Itoa(n.Part)
	}
}

// recordSeparator separates the fields of a RecordName.
const recordSeparator = "."

// ParseRecordName parses what follows the job's id in the key of a progress record;
// ok is false if it is malformed.
func ParseRecordName(text string) (name RecordName, ok bool) {
	if text == "" {
		return RecordName{Occurrence: wholeJob}, true
	}
	fields := strings.Split(text, recordSeparator)
	if fields[0] != "" || len(fields) > 3 {
		return RecordName{}, false
	}
	for i, to := range []*int{&name.Occurrence, &name.Part} {
		if i+1 >= len(fields) {
			break
		}
		n, err := strconv.ParseUint(fields[i+1], 10, 31)
		if err != nil {
			return RecordName{}, false
		}
		*to = int(n)
	}
	return name, name.String() == text
}

// ProgressRecord is a record of a job's progress.
type ProgressRecord struct {
	Name RecordName
	// Data is empty if the record is dropped.
	Data []byte
}

// savedProgress is what the log holds of a job's progress.
type savedProgress struct {
	// head is the record about the job itself.
	head []byte
	// dropped are the occurrences that are done and still have a record.
	dropped []int
}

// drop notes that an occurrence needs no record any more.
func (p *savedProgress) drop(o *Occurrence) {
	if o.stored {
		p.dropped = append(p.dropped, o.Index)
		o.stored = false
	}
}

// EncodeProgress returns the progress records that have changed since the last
// call. They have to be stored together, before those of the next call. For a job
// that has ended and has no unfinished runs, the record about the job replaces the
// admission record as well.
func (j *Job) EncodeProgress() ([]ProgressRecord, error) {
	p := progress{Version: recordVersion, Opened: j.opened}
	if j.Final() {
		p.Final, p.FinishedMS, p.Queue, p.Customer = j.final, j.finished.UnixMilli(), j.Queue, j.Customer
	}
	var records []ProgressRecord
	stored := !j.Final() || j.HasUnfinishedRuns()
	switch {
	case j.Spec.splits():
		p.Version = splitVersion
		var err error
		if records, err = j.encodeOccurrences(stored); err != nil {
			return nil, err
		}
	case stored:
		for _, o := range j.live {
			p.Live = append(p.Live, newOccurrenceProgress(o))
		}
	}
	head, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Wrapf(err, "encode the progress of job %s", j.ID)
	}
	if !bytes.Equal(head, j.saved.head) {
		j.saved.head = head
		records = append(records, ProgressRecord{Name: RecordName{Occurrence: wholeJob}, Data: head})
	}
	return records, nil
}

// splits reports whether the job's occurrences have records of their own.
func (s *Spec) splits() bool { return s.Recurrence != nil || s.tasks() > maxPartTasks }

// tasks returns the number of tasks of an occurrence.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// parts returns the number of records of an occurrence.
func (s *Spec) parts() int { return (s.tasks() + maxPartTasks - 1) / maxPartTasks }

// encodeOccurrences returns the changed records of the job's occurrences. stored is
// set if live occurrences need records.
func (j *Job) encodeOccurrences(stored bool) ([]ProgressRecord, error) {
	var records []ProgressRecord
	for _, o := range j.live {
		switch {
		case !stored:
			j.saved.drop(o)
		case o.changed:
			for part, p := range partsOf(newOccurrenceProgress(o), &j.Spec) {
				data, err := cbor.Marshal(occurrenceRecord{Version: recordVersion, Occurrence: p})
				if err != nil {
					return nil, errors.Wrapf(err, "encode occurrence %d of job %s", o.Index, j.ID)
				}
				records = append(records, ProgressRecord{Name: RecordName{Occurrence: o.Index, Part: part}, Data: data})
			}
			o.changed, o.stored = false, true
		}
	}
	for _, index := range j.saved.dropped {
		for part := range j.Spec.parts() {
			records = append(records, ProgressRecord{Name: RecordName{Occurrence: index, Part: part}})
		}
	}
	j.saved.dropped = nil
	return records, nil
}

// partsOf splits the progress of an occurrence into parts. The tasks of all steps
// are numbered in order, and each part has maxPartTasks of these numbers.
func partsOf(p occurrenceProgress, spec *Spec) []occurrenceProgress {
	parts := make([]occurrenceProgress, spec.parts())
	for i := range parts {
		parts[i] = occurrenceProgress{Index: p.Index, Steps: slices.Clone(p.Steps)}
		for k := range parts[i].Steps {
			parts[i].Steps[k].Tasks = nil
		}
	}
	before := 0
	for k := range p.Steps {
		for _, t := range p.Steps[k].Tasks {
			to := &parts[(before+t.Index)/maxPartTasks].Steps[k]
			to.Tasks = append(to.Tasks, t)
		}
		before += spec.Steps[k].Count
	}
	return parts
}

func newOccurrenceProgress(o *Occurrence) occurrenceProgress {
	out := occurrenceProgress{Index: o.Index}
	for _, s := range o.Steps {
		out.Steps = append(out.Steps, newStepProgress(s))
	}
	return out
}

func newStepProgress(s *StepRun) stepProgress {
	out := stepProgress{
		Done:           s.Done(),
		GangFailures:   s.gangFailures,
		GangFailed:     s.lastFailedGangRun,
		GangCheckpoint: s.gangCheckpoint,
	}
	if out.Done {
		return out
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.lastRunNumber == 0 {
			continue
		}
		stored := taskProgress{Index: i, Done: t.done, Number: t.lastRunNumber, Failures: t.failures, Checkpoint: t.checkpoint}
		for _, r := range t.runs {
			stored.Runs = append(stored.Runs, runProgress{Number: r.Number, Endpoint: r.Endpoint, Incarnation: r.Incarnation})
		}
		out.Tasks = append(out.Tasks, stored)
	}
	return out
}

// DecodeFinalJob returns the job that its final progress record describes; ok is
// false if the record is not final.
func DecodeFinalJob(id ID, records map[RecordName][]byte) (j *Job, ok bool, err error) {
	p, err := decodeProgress(id, records[RecordName{Occurrence: wholeJob}])
	if err != nil || p.Final == "" {
		return nil, false, err
	}
	j = &Job{ID: id, Queue: p.Queue, Customer: p.Customer, final: p.Final, finished: time.UnixMilli(p.FinishedMS)}
	return j, true, nil
}

func decodeProgress(id ID, data []byte) (*progress, error) {
	var p progress
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrapf(err, "the progress record of job %s can't be decoded; upgrade this daemon or delete the record", id)
	}
	if p.Version != recordVersion && p.Version != splitVersion {
		return nil, errors.Errorf("the progress record of job %s has version %d, want %d or %d; upgrade this daemon", id, p.Version, recordVersion, splitVersion)
	}
	return &p, nil
}

// Restore applies progress records, by name, to a job that was decoded from its
// admission record.
func (j *Job) Restore(records map[RecordName][]byte) error {
	head := records[RecordName{Occurrence: wholeJob}]
	p, err := decodeProgress(j.ID, head)
	if err != nil {
		return err
	}
	j.saved.head = head
	if err := j.joinParts(p, records); err != nil {
		return err
	}
	if p.Final != "" {
		j.final, j.finished = p.Final, time.UnixMilli(p.FinishedMS)
	}
	if p.Opened < 0 || p.Opened > j.Spec.Occurrences() {
		return errors.Errorf("the progress record of job %s has %d of %d occurrences opened", j.ID, p.Opened, j.Spec.Occurrences())
	}
	j.opened = p.Opened
	// Occurrences that were opened and are no longer live are done.
	j.begun = p.Opened > len(p.Live)
	for i := range p.Live {
		o, err := j.restoreOccurrence(&p.Live[i])
		if err != nil {
			return err
		}
		// An occurrence from the record about the job has no record of its own yet.
		o.stored = p.Version == splitVersion
		o.changed = !o.stored
	}
	return nil
}

// joinParts adds the occurrences that have records of their own to the live ones.
func (j *Job) joinParts(p *progress, records map[RecordName][]byte) error {
	for _, name := range slices.SortedFunc(maps.Keys(records), compareNames) {
		if name.Occurrence == wholeJob {
			continue
		}
		var r occurrenceRecord
		if err := cbor.Unmarshal(records[name], &r); err != nil {
			return errors.Wrapf(err, "the record %s of job %s can't be decoded; upgrade this daemon or delete the record", name, j.ID)
		}
		if r.Version != recordVersion || p.Version != splitVersion {
			return errors.Errorf("the record %s of job %s has version %d, the job's %d; upgrade this daemon", name, j.ID, r.Version, p.Version)
		}
		if r.Occurrence.Index != name.Occurrence || len(r.Occurrence.Steps) != len(j.Spec.Steps) {
			return errors.Errorf("the record %s of job %s is about occurrence %d with %d steps", name, j.ID, r.Occurrence.Index, len(r.Occurrence.Steps))
		}
		if name.Part == 0 {
			p.Live = append(p.Live, r.Occurrence)
			continue
		}
		last := len(p.Live) - 1
		if last < 0 || p.Live[last].Index != name.Occurrence {
			return errors.Errorf("the first record of occurrence %d of job %s is missing", name.Occurrence, j.ID)
		}
		for i := range r.Occurrence.Steps {
			to := &p.Live[last].Steps[i]
			to.Tasks = append(to.Tasks, r.Occurrence.Steps[i].Tasks...)
		}
	}
	return nil
}

func compareNames(a, b RecordName) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Part, b.Part))
}

func (j *Job) restoreOccurrence(p *occurrenceProgress) (*Occurrence, error) {
	if len(p.Steps) != len(j.Spec.Steps) {
		return nil, errors.Errorf("the progress record of job %s has %d steps, the job has %d", j.ID, len(p.Steps), len(j.Spec.Steps))
	}
	if p.Index < 0 || p.Index >= j.opened {
		return nil, errors.Errorf("the progress record of job %s has occurrence %d, %d were opened", j.ID, p.Index, j.opened)
	}
	o := newOccurrence(j, p.Index)
	for i, s := range o.Steps {
		if err := s.restore(&p.Steps[i]); err != nil {
			return nil, err
		}
		if s.Done() {
			o.open--
		}
	}
	j.live = append(j.live, o)
	return o, nil
}

func (s *StepRun) restore(p *stepProgress) error {
	s.gangFailures, s.lastFailedGangRun, s.gangCheckpoint = p.GangFailures, p.GangFailed, p.GangCheckpoint
	if p.Done {
		s.Job.begun = true
		for i := range s.Tasks {
			s.Tasks[i].done = true
		}
		s.open = 0
		return nil
	}
	for i := range p.Tasks {
		stored := &p.Tasks[i]
		if stored.Index < 0 || stored.Index >= len(s.Tasks) {
			return errors.Errorf("the progress record of step %s has task %d, the step has %d tasks", s.Name(), stored.Index, len(s.Tasks))
		}
		s.restoreTask(stored)
	}
	return nil
}

func (s *StepRun) restoreTask(stored *taskProgress) {
	t := &s.Tasks[stored.Index]
	t.done, t.lastRunNumber, t.failures, t.checkpoint = stored.Done, stored.Number, stored.Failures, stored.Checkpoint
	for _, r := range stored.Runs {
		t.runs = append(t.runs, Run{Number: r.Number, Endpoint: r.Endpoint, Incarnation: r.Incarnation})
	}
	if t.done {
		s.open--
	}
	if t.done || t.failures > 0 || t.checkpoint != "" || s.gangFailures > 0 || s.gangCheckpoint != "" {
		s.Job.begun = true
	}
}
