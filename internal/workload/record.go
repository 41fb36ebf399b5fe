package workload

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordVersion is the version of the format of both records. A reader rejects
// versions that it does not know.
const recordVersion = 1

// admission is the record of a job that is stored once, on acceptance.
type admission struct {
	_          struct{} `cbor:",toarray"`
	Version    int
	Queue      string
	Customer   string
	AcceptedMS int64
	Excess     bool
	Payload    string
	Steps      []stepSpec
	Times      int
	FirstMS    int64
	IntervalMS int64
}

// stepSpec is the stored form of a Step. Zero fields are omitted.
type stepSpec struct {
	Count          int    `cbor:"1,keyasint,omitempty"`
	MilliCores     int64  `cbor:"2,keyasint,omitempty"`
	MemoryMB       int64  `cbor:"3,keyasint,omitempty"`
	Accelerators   int64  `cbor:"4,keyasint,omitempty"`
	EstimateMS     int64  `cbor:"5,keyasint,omitempty"`
	After          []int  `cbor:"6,keyasint,omitempty"`
	Gang           bool   `cbor:"7,keyasint,omitempty"`
	SameRack       bool   `cbor:"8,keyasint,omitempty"`
	RequiredLabel  string `cbor:"9,keyasint,omitempty"`
	PreferredRack  string `cbor:"10,keyasint,omitempty"`
	MaxPerEndpoint int    `cbor:"11,keyasint,omitempty"`
	Speculative    bool   `cbor:"12,keyasint,omitempty"`
	LongRunning    bool   `cbor:"13,keyasint,omitempty"`
	Checkpoints    bool   `cbor:"14,keyasint,omitempty"`
	Image          string `cbor:"15,keyasint,omitempty"`
	ObjectiveMS    int64  `cbor:"16,keyasint,omitempty"`
	Fills          bool   `cbor:"17,keyasint,omitempty"`
	MaxUnavailable int    `cbor:"18,keyasint,omitempty"`
}

// progress is the record of a job that is stored whenever its state changes.
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

// EncodeAdmission returns the admission record, which holds the job as
// submitted.
func (j *Job) EncodeAdmission() ([]byte, error) {
	a := admission{
		Version:    recordVersion,
		Queue:      j.Queue,
		Customer:   j.Customer,
		AcceptedMS: j.Accepted.UnixMilli(),
		Excess:     j.Excess,
		Payload:    j.Spec.Payload,
	}
	for i := range j.Spec.Steps {
		a.Steps = append(a.Steps, newStepSpec(&j.Spec.Steps[i]))
	}
	if r := j.Spec.Recurrence; r != nil {
		a.Times, a.FirstMS, a.IntervalMS = r.Times, r.First.UnixMilli(), r.Interval.Milliseconds()
	}
	data, err := cbor.Marshal(a)
	return data, errors.Wrapf(err, "encode job %s", j.ID)
}

func newStepSpec(s *Step) stepSpec {
	return stepSpec{
		Count:          s.Count,
		MilliCores:     s.Size.MilliCores,
		MemoryMB:       s.Size.MemoryMB,
		Accelerators:   s.Size.Accelerators,
		EstimateMS:     s.Estimate.Milliseconds(),
		After:          s.After,
		Gang:           s.Gang,
		SameRack:       s.SameRack,
		RequiredLabel:  s.RequiredLabel,
		PreferredRack:  s.PreferredRack,
		MaxPerEndpoint: s.MaxPerEndpoint,
		Speculative:    s.Speculative,
		LongRunning:    s.LongRunning,
		Checkpoints:    s.Checkpoints,
		Image:          s.Image,
		ObjectiveMS:    s.LatencyObjective.Milliseconds(),
		Fills:          s.Fills,
		MaxUnavailable: s.MaxUnavailable,
	}
}

func (s *stepSpec) step() Step {
	return Step{
		Count:            s.Count,
		Size:             resource.Vector{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		Estimate:         time.Duration(s.EstimateMS) * time.Millisecond,
		After:            s.After,
		Gang:             s.Gang,
		SameRack:         s.SameRack,
		RequiredLabel:    s.RequiredLabel,
		PreferredRack:    s.PreferredRack,
		MaxPerEndpoint:   s.MaxPerEndpoint,
		Speculative:      s.Speculative,
		LongRunning:      s.LongRunning,
		Checkpoints:      s.Checkpoints,
		Image:            s.Image,
		LatencyObjective: time.Duration(s.ObjectiveMS) * time.Millisecond,
		Fills:            s.Fills,
		MaxUnavailable:   s.MaxUnavailable,
	}
}

// DecodeAdmission returns the job of an admission record, in the state of a
// newly accepted job.
func DecodeAdmission(id ID, data []byte) (*Job, error) {
	var a admission
	if err := cbor.Unmarshal(data, &a); err != nil {
		return nil, errors.Wrapf(err, "the admission record of job %s can't be decoded; upgrade this daemon or delete the record", id)
	}
	if a.Version != recordVersion {
		return nil, errors.Errorf("the admission record of job %s has version %d, want %d; upgrade this daemon", id, a.Version, recordVersion)
	}
	spec := Spec{Payload: a.Payload}
	for i := range a.Steps {
		spec.Steps = append(spec.Steps, a.Steps[i].step())
	}
	if a.Times > 0 {
		spec.Recurrence = &Recurrence{
			Times:    a.Times,
			First:    time.UnixMilli(a.FirstMS),
			Interval: time.Duration(a.IntervalMS) * time.Millisecond,
		}
	}
	if err := spec.Validate(); err != nil {
		return nil, errors.Wrapf(err, "the admission record of job %s is invalid", id)
	}
	j := NewJob(id, a.Queue, a.Customer, time.UnixMilli(a.AcceptedMS), spec)
	j.Excess = a.Excess
	return j, nil
}

// EncodeProgress returns the progress record. For a job that has ended and has
// no unfinished runs, it replaces the admission record as well.
func (j *Job) EncodeProgress() ([]byte, error) {
	p := progress{Version: recordVersion, Opened: j.opened}
	if j.Final() {
		p.Final, p.FinishedMS, p.Queue, p.Customer = j.final, j.finished.UnixMilli(), j.Queue, j.Customer
	}
	if !j.Final() || j.HasUnfinishedRuns() {
		for _, o := range j.live {
			p.Live = append(p.Live, newOccurrenceProgress(o))
		}
	}
	data, err := cbor.Marshal(p)
	return data, errors.Wrapf(err, "encode the progress of job %s", j.ID)
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

// DecodeFinalJob returns the job that a final progress record describes; ok is
// false if the record is not final.
func DecodeFinalJob(id ID, data []byte) (j *Job, ok bool, err error) {
	p, err := decodeProgress(id, data)
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
	if p.Version != recordVersion {
		return nil, errors.Errorf("the progress record of job %s has version %d, want %d; upgrade this daemon", id, p.Version, recordVersion)
	}
	return &p, nil
}

// Restore applies a progress record to a job that was decoded from its
// admission record.
func (j *Job) Restore(data []byte) error {
	p, err := decodeProgress(j.ID, data)
	if err != nil {
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
	j.started = p.Opened > len(p.Live)
	j.begun = j.started
	for i := range p.Live {
		if err := j.restoreOccurrence(&p.Live[i]); err != nil {
			return err
		}
	}
	return nil
}

func (j *Job) restoreOccurrence(p *occurrenceProgress) error {
	if len(p.Steps) != len(j.Spec.Steps) {
		return errors.Errorf("the progress record of job %s has %d steps, the job has %d", j.ID, len(p.Steps), len(j.Spec.Steps))
	}
	o := newOccurrence(j, p.Index)
	for i, s := range o.Steps {
		if err := s.restore(&p.Steps[i]); err != nil {
			return err
		}
		if s.Done() {
			o.open--
		}
	}
	j.live = append(j.live, o)
	return nil
}

func (s *StepRun) restore(p *stepProgress) error {
	s.gangFailures, s.lastFailedGangRun, s.gangCheckpoint = p.GangFailures, p.GangFailed, p.GangCheckpoint
	if p.Done {
		s.Job.started, s.Job.begun = true, true
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
	if t.lastRunNumber > 0 {
		s.Job.started = true
	}
	if t.done || t.failures > 0 || t.checkpoint != "" || s.gangFailures > 0 || s.gangCheckpoint != "" {
		s.Job.begun = true
	}
}
