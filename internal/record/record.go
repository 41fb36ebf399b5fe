// Package record defines the records that bluebellstile keeps in the
// platform's log, and their encoding. Records are CBOR with integer keys, so
// that readers of an older version skip fields that they don't know.
//
// Each availability zone (zone for short) has at most one holder, the daemon
// that schedules its work. A daemon becomes the holder by a claim. The offset
// of the claim in the log is the epoch, which serves as fencing token.
package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Kind is the type of a record. It determines which field of the Envelope
// holds the body.
type Kind uint8

// Record kinds. Values are never reused.
const (
	KindConfig   Kind = 1
	KindClaim    Kind = 2
	KindRoster   Kind = 3
	KindTransfer Kind = 4
	KindJobs     Kind = 5
	KindOutcomes Kind = 6
	KindSnapshot Kind = 7
	KindAudit    Kind = 8
	KindReport   Kind = 9
	KindProbe    Kind = 10
)

// Envelope is one log record: its kind and the body of that kind.
type Envelope struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Config   *Config   `cbor:"2,keyasint,omitempty"`
	Claim    *Claim    `cbor:"3,keyasint,omitempty"`
	Roster   *Roster   `cbor:"4,keyasint,omitempty"`
	Transfer *Transfer `cbor:"5,keyasint,omitempty"`
	Jobs     *Jobs     `cbor:"6,keyasint,omitempty"`
	Outcomes *Outcomes `cbor:"7,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"8,keyasint,omitempty"`
	Audit    *Audit    `cbor:"9,keyasint,omitempty"`
	Report   *Report   `cbor:"10,keyasint,omitempty"`
	Probe    *Probe    `cbor:"12,keyasint,omitempty"`
	// Seen is the offset that the writer had applied when it made the record.
	// Roster, Transfer, Jobs, Outcomes and Report records take effect only at
	// offsets up to Seen+SeenWindow, so that a writer whose append got no
	// response knows after that offset that the record is void.
	Seen uint64 `cbor:"11,keyasint,omitempty"`
}

// SeenWindow is the number of offsets, counted from Envelope.Seen, within
// which a holder's record can take effect. The ids of such records are
// remembered over as many offsets.
const SeenWindow = 1 << 14

// Config publishes a configuration. It takes effect only if Expected is the
// version in force at the record's offset; that offset is the new version.
// In a Snapshot, Base is the version in force.
type Config struct {
	Text     string `cbor:"1,keyasint"`
	Expected uint64 `cbor:"2,keyasint"`
	// Author is the id of the operator's key, for audits.
	Author string `cbor:"3,keyasint,omitempty"`
	// Base is set when the version in force is appended again. The version
	// then stays Base.
	Base uint64 `cbor:"4,keyasint,omitempty"`
	// Patch, if set, derives the text from that of version Expected. Text is
	// then empty.
	Patch *ConfigPatch `cbor:"5,keyasint,omitempty"`
}

// ConfigPatch derives a configuration text from another one.
type ConfigPatch struct {
	Segments []PatchSegment `cbor:"1,keyasint"`
	// Checksum is a prefix of the SHA-256 of the resulting text.
	Checksum []byte `cbor:"2,keyasint"`
}

// PatchSegment is a part of the resulting text: Text, followed by Count
// sections of the base text from section Start on.
type PatchSegment struct {
	Start int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  string `cbor:"3,keyasint,omitempty"`
}

// Claim makes Holder the holder of a zone if Previous is the current epoch at
// the record's offset. The epoch of a valid claim is its own offset. In a
// Snapshot, Base is the current epoch and Previous the epoch that it ended.
type Claim struct {
	Zone     string `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Previous uint64 `cbor:"4,keyasint"`
	// Base is set when the holder renews its claim. The record then takes
	// effect only if Base is the current epoch, and leaves the epoch as it is.
	Base uint64 `cbor:"5,keyasint,omitempty"`
}

// Roster adds endpoints to a zone's roster before the holder uses them for the
// first time, and removes endpoints from it.
type Roster struct {
	Zone      string   `cbor:"1,keyasint"`
	Epoch     uint64   `cbor:"2,keyasint"`
	Endpoints []string `cbor:"3,keyasint"`
	// Removed lists endpoints that are certainly gone. An endpoint that was
	// added again after the record's Seen offset stays.
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// Transfer moves part of a team's upper limit from one zone to another. It
// takes effect only if Epoch is the current epoch of From at the record's
// offset and the team's allotment in From is at least Amount.
type Transfer struct {
	ID     string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint"`
	From   string `cbor:"3,keyasint"`
	To     string `cbor:"4,keyasint"`
	Amount int64  `cbor:"5,keyasint"`
	Epoch  uint64 `cbor:"6,keyasint"`
}

// Jobs is a group commit of accepted durable jobs.
type Jobs struct {
	Zone  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Jobs  []Job  `cbor:"3,keyasint"`
}

// Job is an accepted durable job.
type Job struct {
	ID         string   `cbor:"1,keyasint"`
	Team       string   `cbor:"2,keyasint"`
	Queue      string   `cbor:"3,keyasint"`
	Command    string   `cbor:"4,keyasint"`
	Inputs     [][]byte `cbor:"5,keyasint"`
	Idempotent bool     `cbor:"6,keyasint,omitempty"`
	// Gang is set for tasks that start, run and end together.
	Gang bool `cbor:"7,keyasint,omitempty"`
	// MilliCores, MemoryMB, Accelerators and Slots are the size of each task. Slots
	// counts concurrent requests on a service runner.
	MilliCores   int64 `cbor:"8,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"9,keyasint,omitempty"`
	Accelerators int64 `cbor:"10,keyasint,omitempty"`
	Slots        int64 `cbor:"11,keyasint,omitempty"`
	RunTimeMS    int64 `cbor:"12,keyasint,omitempty"`
	// Ticket is the caller's id of the submission, which identifies repeated
	// submissions of the same job.
	Ticket string `cbor:"13,keyasint,omitempty"`
	// Cancelled is set when a job is recorded again after its cancellation.
	Cancelled bool `cbor:"14,keyasint,omitempty"`
	// Tasks is the number of tasks of a finished job, whose inputs a snapshot
	// leaves out.
	Tasks int `cbor:"15,keyasint,omitempty"`
	// Digest identifies what the job asks for, so that a ticket can't be used
	// for another job even when the inputs are no longer kept.
	Digest []byte `cbor:"16,keyasint,omitempty"`
}

// Outcomes is a group commit of finished tasks of durable jobs. A task is
// acknowledged to its endpoint only after its outcome is in the log.
type Outcomes struct {
	Zone     string    `cbor:"1,keyasint"`
	Epoch    uint64    `cbor:"2,keyasint"`
	Outcomes []Outcome `cbor:"3,keyasint"`
}

// Outcome is the result of one task.
type Outcome struct {
	Job   string `cbor:"1,keyasint"`
	Index int    `cbor:"2,keyasint"`
	// State is "done", "failed", "cancelled", "not run" or "unknown".
	State  string `cbor:"3,keyasint"`
	Output []byte `cbor:"4,keyasint,omitempty"`
	Reason string `cbor:"5,keyasint,omitempty"`
	// Truncated is set if Output was left out because it exceeded the bound on
	// the outputs that the log retains for one job.
	Truncated bool `cbor:"6,keyasint,omitempty"`
}

// Snapshot preserves state beyond the log's retention: the state of one zone
// or, if Zone is empty, the state that all zones share (configuration, claims
// and allotments). Every reader derives the same state from the records up to
// and including Through, so any daemon may write the snapshot, and it changes
// nothing for a reader that has read those records.
type Snapshot struct {
	Zone  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Through is the offset of the last record that the snapshot covers.
	Through uint64   `cbor:"3,keyasint"`
	Roster  []string `cbor:"4,keyasint,omitempty"`
	// Key 5 is retired and must not be used again.

	// Jobs are the open jobs in the order in which they were accepted.
	Jobs     []Job     `cbor:"6,keyasint,omitempty"`
	Outcomes []Outcome `cbor:"7,keyasint,omitempty"`
	// Part numbers the records of one snapshot from 0 to Parts-1.
	Part  int `cbor:"8,keyasint,omitempty"`
	Parts int `cbor:"9,keyasint,omitempty"`
	// Finished are the finished jobs that are still kept for reads, in the
	// order in which they finished.
	Finished []Job `cbor:"10,keyasint,omitempty"`
	// Recent lists the ids of the holder's records of the last SeenWindow
	// offsets.
	Recent []RecentID `cbor:"11,keyasint,omitempty"`
	// Claims holds the claim of the zone, or of every zone if Zone is empty.
	Claims []Claim       `cbor:"12,keyasint,omitempty"`
	Config *Config       `cbor:"13,keyasint,omitempty"`
	Teams  []TeamBalance `cbor:"14,keyasint,omitempty"`
	// AddedAt holds the offset at which each endpoint of Roster was last added.
	AddedAt []uint64 `cbor:"15,keyasint,omitempty"`
}

// RecentID is the id of a record and its offset.
type RecentID struct {
	ID     string `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// TeamBalance is a team's upper limit and the parts of it, the allotments,
// that the zones have.
type TeamBalance struct {
	Team     string           `cbor:"1,keyasint"`
	Limit    int64            `cbor:"2,keyasint"`
	Balances map[string]int64 `cbor:"3,keyasint,omitempty"`
	// Unallotted is the part that no zone has because none is configured.
	Unallotted int64 `cbor:"4,keyasint,omitempty"`
}

// Probe asks the holder of a zone to show that it still runs: a holder that
// reads the record renews its claim. The record itself changes no state.
type Probe struct {
	Zone  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Audit records an operator's action.
type Audit struct {
	Author string `cbor:"1,keyasint"`
	Action string `cbor:"2,keyasint"`
	Detail string `cbor:"3,keyasint,omitempty"`
	// UnixMS is the author's wall clock in milliseconds. It is only for display.
	UnixMS int64 `cbor:"4,keyasint,omitempty"`
}

// Report is a bounded summary of service levels in one zone over one period.
type Report struct {
	Zone    string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	StartMS int64  `cbor:"3,keyasint"`
	EndMS   int64  `cbor:"4,keyasint"`
	// Series is an encoded summary whose format the report package owns.
	Series []byte `cbor:"5,keyasint"`
	// FrontDoor is set if the summary holds what a front door, a daemon that
	// receives callers' requests, whether or not it holds their zone, observed
	// and the holder did not. Such a summary doesn't count as coverage of its
	// period.
	FrontDoor bool `cbor:"6,keyasint,omitempty"`
}

// MaxBytes bounds the size of an encoded record.
const MaxBytes = 1 << 20

// Encode returns the CBOR form of e.
func Encode(e *Envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode log record")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("log record of %d bytes exceeds the limit of %d bytes; split it", len(data), MaxBytes)
	}
	return data, nil
}

// Decode parses the CBOR form of an envelope. It returns an error for a record
// that it can't parse or whose kind it doesn't know; readers skip and count
// such a record.
func Decode(data []byte) (*Envelope, error) {
	if len(data) > MaxBytes {
		return nil, errors.Errorf("log record of %d bytes exceeds the limit of %d bytes", len(data), MaxBytes)
	}
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode log record")
	}
	if !e.hasBody() {
		return nil, errors.Errorf("log record of kind %d lacks its body", e.Kind)
	}
	return &e, nil
}

// hasBody reports whether the body that Kind names is present.
func (e *Envelope) hasBody() bool {
	switch e.Kind {
	case KindConfig:
		return e.Config != nil
	case KindClaim:
		return e.Claim != nil
	case KindRoster:
		return e.Roster != nil
	case KindTransfer:
		return e.Transfer != nil
	case KindJobs:
		return e.Jobs != nil
	case KindOutcomes:
		return e.Outcomes != nil
	case KindSnapshot:
		return e.Snapshot != nil
	case KindAudit:
		return e.Audit != nil
	case KindReport:
		return e.Report != nil
	case KindProbe:
		return e.Probe != nil
	}
	return false
}
