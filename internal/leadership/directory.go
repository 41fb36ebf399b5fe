// Package leadership decides which daemon of a cell holds it. Claims stand in
// the log, where the first one on an end wins; a claim's epoch is its place.
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
	// directoryWait is how long a read of the cell's topic waits for a change.
	directoryWait = 10 * time.Second
	// callTimeout bounds a call that appends to the cell's topic. A slow log
	// answers within a few hundred milliseconds.
	callTimeout = time.Second
)

// Member is a daemon of the cell.
type Member struct {
	Name string
	// Incarnation is new in each life of the process.
	Incarnation      string
	Address          string
	AvailabilityZone string
	Region           string
	// Started is the time of day of the process's start.
	Started time.Time
	// LogTime is how long a call of the log takes from there.
	LogTime time.Duration
	// Processors is how many cores' work the daemon may do; 0 if it has not
	// said.
	Processors float64
}

// Claim is the record by which a daemon holds the cell.
type Claim struct {
	// Epoch is the fencing token of the claim's term: the offset behind the
	// record, so that the first one is 1.
	Epoch  int64
	Holder Member
}

// memberRecord and claimRecord are the stored forms.
type memberRecord struct {
	Incarnation      string `cbor:"1,keyasint"`
	Address          string `cbor:"2,keyasint"`
	AvailabilityZone string `cbor:"3,keyasint"`
	Region           string `cbor:"4,keyasint"`
	StartedMS        int64  `cbor:"5,keyasint"`
	LogMicros        int64  `cbor:"6,keyasint"`
	ProcessorMilli   int64  `cbor:"7,keyasint,omitempty"`
}

// milli is how many thousandths there are in one.
const milli = 1000

type claimRecord struct {
	Name   string       `cbor:"1,keyasint"`
	Member memberRecord `cbor:"2,keyasint"`
}

func stored(m Member) memberRecord {
	return memberRecord{
		Incarnation:      m.Incarnation,
		Address:          m.Address,
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		StartedMS:        m.Started.UnixMilli(),
		LogMicros:        m.LogTime.Microseconds(),
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
		LogTime:          time.Duration(r.LogMicros) * time.Microsecond,
		Processors:       float64(r.ProcessorMilli) / milli,
	}
}

// Directory knows the members of the cell and its holder, as they stand in the
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
	end     int64
	loaded  bool
	changed chan struct{}
}

// NewDirectory returns a directory that is empty until Run has read the topic.
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
		Wait:      directoryWait,
		Reset:     d.reset,
		Apply:     d.apply,
		OnError:   func(err error) { d.logger.Debug("the cell's topic can't be read", "error", err) },
	}
	return f.Run(t)
}

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
		d.applyOne(&entries[i])
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Directory) applyOne(e *keyedlog.Entry) {
	d.end = max(d.end, e.Offset+1)
	if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
		d.applyMember(name, e.Value)
		return
	}
	if e.Key != claimKey || len(e.Value) == 0 || e.Offset+1 <= d.claim.Epoch {
		return
	}
	var r claimRecord
	if err := cbor.Unmarshal(e.Value, &r); err != nil {
		d.logger.Error("a claim can't be read and is left out; upgrade this daemon", "offset", e.Offset, "error", err)
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
		d.logger.Error("a member's record can't be read and is left out; upgrade this daemon", "member", name, "error", err)
		return
	}
	d.members[name] = r.member(name)
}

// logSamples is how many calls of the log are timed; the shortest counts.
const logSamples = 3

// measure times calls of the log.
func (d *Directory) measure(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	best := time.Duration(0)
	for range logSamples {
		began := d.clock.Now()
		if _, err := d.log.Read(ctx, d.partition, math.MaxInt32, 0); err != nil {
			return 0, err
		}
		if took := d.clock.Now() - began; best == 0 || took < best {
			best = took
		}
	}
	return best, nil
}

// Register announces this daemon, with how long a call of the log takes.
func (d *Directory) Register(ctx context.Context) error {
	took, err := d.measure(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.self.LogTime = took
	self := d.self
	d.mu.Unlock()
	value, err := cbor.Marshal(stored(self))
	if err != nil {
		return errors.Wrap(err, "encode the member's record")
	}
	return d.write(ctx, keyedlog.Record{Key: memberPrefix + d.self.Name, Value: value})
}

// Leave takes this daemon off the members, if no later life has registered.
func (d *Directory) Leave(ctx context.Context) error {
	d.mu.Lock()
	current := d.members[d.self.Name]
	d.mu.Unlock()
	if current.Incarnation != d.self.Incarnation {
		return nil
	}
	return d.write(ctx, keyedlog.Record{Key: memberPrefix + d.self.Name})
}

// write appends a record that may stand twice without harm.
func (d *Directory) write(ctx context.Context, r keyedlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.log.Append(ctx, keyedlog.Append{Partition: d.partition, Records: []keyedlog.Record{r}})
	return err
}

// ErrReplaced means that a claim would replace another one than it was decided
// to.
var ErrReplaced = errors.New("the cell was claimed meanwhile; look at the newest claim and decide again")

// Claim claims the cell from the holder with the epoch replaces. It fails with
// keyedlog.KindConflict if the topic has moved on; a claim without an answer
// may come into force later, which the directory then shows.
func (d *Directory) Claim(ctx context.Context, replaces int64) (Claim, error) {
	d.mu.Lock()
	end, loaded, newest := d.end, d.loaded, d.claim.Epoch
	d.mu.Unlock()
	if !loaded {
		return Claim{}, errors.New("the cell's topic has not been read yet; wait for the log")
	}
	if newest != replaces {
		return Claim{}, ErrReplaced
	}
	value, err := cbor.Marshal(claimRecord{Name: d.self.Name, Member: stored(d.self)})
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode the claim")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done, err := d.log.Append(ctx, keyedlog.Append{
		Partition: d.partition,
		Records:   []keyedlog.Record{{Key: claimKey, Value: value}},
		At:        &end,
	})
	if err != nil {
		return Claim{}, err
	}
	claim := Claim{Epoch: done.Offset + 1, Holder: d.self}
	d.mu.Lock()
	d.end = max(d.end, done.End)
	d.mu.Unlock()
	d.ObserveClaim(claim)
	return claim, nil
}

// ObserveClaim takes in a claim that another daemon knows. It stands in the log, which
// this daemon may not be able to read.
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

// Members returns the members in order of name.
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
