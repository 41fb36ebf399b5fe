package workload

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Versions of the formats. A reader rejects versions that it does not know.
const (
	// recordVersion is the version of all records but those below.
	recordVersion = 1
	// splitVersion is the version of a progress record whose live occurrences
	// have records of their own.
	splitVersion = 2
)

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
	if err := spec.validateStored(); err != nil {
		return nil, errors.Wrapf(err, "the admission record of job %s is invalid", id)
	}
	j := NewJob(id, a.Queue, a.Customer, time.UnixMilli(a.AcceptedMS), spec)
	j.Excess = a.Excess
	return j, nil
}
