// Package leadership elects the daemon that holds a cell. A daemon claims the
// cell by appending a record to the log. Of several claims made for the same end
// of the log, the first wins. The offset of a claim determines its epoch.
//
// A cell is the set of availability zones under one log and one configuration,
// with the daemons, endpoints and jobs in them. Its holder is the daemon that
// schedules the cell at present. A term is one period of holding the cell; its
// epoch is the fencing token.
package leadership

import (
	"context"
	"log/slog"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// Keys of the cell's topic.
const (
	memberPrefix = "member/"
	claimKey     = "holder"
)

const (
	// readWait is how long a read of the cell's topic waits for a change.
	readWait = 10 * time.Second
	// callTimeout is the timeout of calls to the cell's topic. A slow log
	// answers within a few hundred milliseconds.
	callTimeout = time.Second
)

// Member is a daemon of the cell.
type Member struct {
	Name string
	// Incarnation differs for each start of the process.
	Incarnation      string
	Address          string
	AvailabilityZone string
	Region           string
	// Started is the wall-clock time at which the process started.
	Started time.Time
	// LogLatency is how long a call to the log takes from the member.
	LogLatency time.Duration
	// Processors is the number of cores that the daemon may use; 0 if it is not
	// known.
	Processors float64
}

// Claim is the record by which a daemon holds the cell. It begins a term, which
// is one period of holding the cell.
type Claim struct {
	// Epoch is the fencing token of the claim's term. It is the offset after
	// the record, so that the first epoch is 1.
	Epoch  int64
	Holder Member
}

// memberRecord is the stored form of a Member.
type memberRecord struct {
	Incarnation      string `cbor:"1,keyasint"`
	Address          string `cbor:"2,keyasint"`
	AvailabilityZone string `cbor:"3,keyasint"`
	Region           string `cbor:"4,keyasint"`
	StartedMS        int64  `cbor:"5,keyasint"`
	LogMicros        int64  `cbor:"6,keyasint"`
	ProcessorMilli   int64  `cbor:"7,keyasint,omitempty"`
}

// milli is the number of thousandths in a unit.
const milli = 1000

// claimRecord is the stored form of a Claim.
type claimRecord struct {
	Name   string       `cbor:"1,keyasint"`
	Member memberRecord `cbor:"2,keyasint"`
}

func newMemberRecord(m Member) memberRecord {
	return memberRecord{
		Incarnation:      m.Incarnation,
		Address:          m.Address,
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		StartedMS:        m.Started.UnixMilli(),
		LogMicros:        m.LogLatency.Microseconds(),
		ProcessorMilli:   int64(math.Round(m.Processors * milli)),
	}
}

func (r memberRecord) member(name string) Member {
	return Member{
		Name:             name,
		Incarnation:      r.Incarnation,
		Address:          r.Address,
		AvailabilityZone: r.AvailabilityZone,
		Region:           r.Region,
		Started:          time.UnixMilli(r.StartedMS),
		LogLatency:       time.Duration(r.LogMicros) * time.Microsecond,
		Processors:       float64(r.ProcessorMilli) / milli,
	}
}

// Directory knows the members of the cell and its holder as recorded in the
// log. It is safe for concurrent use.
type Directory struct {
	log       keyedlog.Log
	partition keyedlog.Partition
	clock     clock.Clock
	self      Member
	logger    *slog.Logger

	mu      sync.Mutex
	members map[string]Member
	claim   Claim
	// nextOffset is the offset after the newest known record of the topic.
	nextOffset int64
	// registeredAt is the offset of this daemon's newest registration.
	registeredAt int64
	loaded       bool
	changed      chan struct{}
}

// NewDirectory returns a Directory that is empty until Run has read the topic.
func NewDirectory(log keyedlog.Log, partition keyedlog.Partition, c clock.Clock, self Member, logger *slog.Logger) *Directory {
	return &Directory{
		log:       log,
		partition: partition,
		clock:     c,
		self:      self,
		logger:    logger,
		members:   make(map[string]Member),
		changed:   make(chan struct{}),
	}
}

// Run follows the cell's topic until t dies.
func (d *Directory) Run(t *tomb.Tomb) error {
	f := keyedlog.Follower{
		Log:       d.log,
		Partition: d.partition,
		Clock:     d.clock,
		Wait:      readWait,
		Reset:     func(newest []keyedlog.Entry, _ int64) { d.reset(newest) },
		Apply:     d.apply,
		OnError:   func(err error) { d.logger.Debug("the cell's topic can't be read", "error", err) },
	}
	return f.Run(t)
}

// reset replaces the members by those in the entries. The newest claim is kept.
func (d *Directory) reset(entries []keyedlog.Entry) {
	d.mu.Lock()
	d.members = make(map[string]Member)
	d.loaded = true
	d.mu.Unlock()
	d.apply(entries)
}

func (d *Directory) apply(entries []keyedlog.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range entries {
		d.applyEntry(&entries[i])
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Directory) applyEntry(e *keyedlog.Entry) {
	d.nextOffset = max(d.nextOffset, e.Offset+1)
	if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
		d.applyMember(name, e.Value)
		return
	}
	if e.Key != claimKey || len(e.Value) == 0 || e.Offset+1 <= d.claim.Epoch {
		return
	}
	var r claimRecord
	if err := cbor.Unmarshal(e.Value, &r); err != nil {
		d.logger.Error("a claim can't be decoded and is skipped; upgrade this daemon", "offset", e.Offset, "error", err)
		return
	}
	d.claim = Claim{Epoch: e.Offset + 1, Holder: r.Member.member(r.Name)}
}

func (d *Directory) applyMember(name string, value []byte) {
	if len(value) == 0 {
		delete(d.members, name)
		return
	}
	var r memberRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		d.logger.Error("a member's record can't be decoded and is skipped; upgrade this daemon", "member", name, "error", err)
		return
	}
	d.members[name] = r.member(name)
}

// latencySamples is the number of timed calls to the log; the shortest counts.
const latencySamples = 3

// measureLogLatency returns how long a call to the log takes.
func (d *Directory) measureLogLatency(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shortest := time.Duration(0)
	for range latencySamples {
		start := d.clock.Now()
		if _, err := d.log.Read(ctx, d.partition, math.MaxInt32, 0); err != nil {
			return 0, err
		}
		if took := d.clock.Now() - start; shortest == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest, nil
}

// Register records this daemon as a member, with its latency to the log.
func (d *Directory) Register(ctx context.Context) error {
	latency, err := d.measureLogLatency(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.self.LogLatency = latency
	self := d.self
	d.mu.Unlock()
	value, err := cbor.Marshal(newMemberRecord(self))
	if err != nil {
		return errors.Wrap(err, "encode the member's record")
	}
	appended, err := d.append(ctx, keyedlog.Append{Records: []keyedlog.Record{{Key: memberPrefix + d.self.Name, Value: value}}})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.registeredAt = appended.Offset
	d.mu.Unlock()
	return nil
}

// Removed reports whether the record of this daemon was removed after its newest
// registration, or replaced by another incarnation's.
func (d *Directory) Removed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextOffset > d.registeredAt && d.members[d.self.Name].Incarnation != d.self.Incarnation
}

// Deregister removes this daemon from the members, unless a later incarnation
// has registered.
func (d *Directory) Deregister(ctx context.Context) error {
	d.mu.Lock()
	current := d.members[d.self.Name]
	d.mu.Unlock()
	if current.Incarnation != d.self.Incarnation {
		return nil
	}
	_, err := d.append(ctx, keyedlog.Append{Records: []keyedlog.Record{{Key: memberPrefix + d.self.Name}}})
	return err
}

// Remove removes members, unless one of them has registered again. It fails with
// keyedlog.KindConflict if the topic has records that this daemon has not read.
func (d *Directory) Remove(ctx context.Context, members []Member) error {
	var records []keyedlog.Record
	d.mu.Lock()
	end := d.nextOffset
	for _, m := range members {
		if d.members[m.Name].Incarnation == m.Incarnation {
			records = append(records, keyedlog.Record{Key: memberPrefix + m.Name})
		}
	}
	d.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	_, err := d.append(ctx, keyedlog.Append{Records: records, At: &end})
	return err
}

// append appends records to the cell's topic.
func (d *Directory) append(ctx context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.Partition = d.partition
	return d.log.Append(ctx, a)
}

// ErrReplaced means that the newest claim is not the one that the caller
// decided to replace.
var ErrReplaced = errors.New("the cell has a newer claim; read it and decide again")

// Claim claims the cell from the holder whose epoch is replaces. It fails with
// ErrReplaced if a newer claim is known, and with keyedlog.KindConflict if the
// topic has records that this daemon has not read. A claim that got no answer
// may still take effect later; the directory then shows it.
func (d *Directory) Claim(ctx context.Context, replaces int64) (Claim, error) {
	d.mu.Lock()
	end, loaded, newest := d.nextOffset, d.loaded, d.claim.Epoch
	d.mu.Unlock()
	if !loaded {
		return Claim{}, errors.New("the cell's topic has not been read yet; wait for the log")
	}
	if newest != replaces {
		return Claim{}, ErrReplaced
	}
	value, err := cbor.Marshal(claimRecord{Name: d.self.Name, Member: newMemberRecord(d.self)})
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode the claim")
	}
	appended, err := d.append(ctx, keyedlog.Append{Records: []keyedlog.Record{{Key: claimKey, Value: value}}, At: &end})
	if err != nil {
		return Claim{}, err
	}
	claim := Claim{Epoch: appended.Offset + 1, Holder: d.self}
	d.mu.Lock()
	d.nextOffset = max(d.nextOffset, appended.End)
	d.mu.Unlock()
	d.ObserveClaim(claim)
	return claim, nil
}

// ObserveClaim records a claim that another daemon has reported. The claim is
// in the log, which this daemon may be unable to read.
func (d *Directory) ObserveClaim(c Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Epoch <= d.claim.Epoch {
		return
	}
	d.claim = c
	close(d.changed)
	d.changed = make(chan struct{})
}

// Self returns this daemon as it has registered.
func (d *Directory) Self() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Current returns the newest claim; its epoch is 0 if there is none.
func (d *Directory) Current() Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.claim
}

// Loaded reports whether the topic has been read.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Members returns the members ordered by name.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}
