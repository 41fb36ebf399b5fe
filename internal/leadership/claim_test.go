package leadership

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
)

// faultyLog is the cell's topic. It appends only if the topic ends at the
// caller's offset, and at random it loses answers or executes calls late.
type faultyLog struct {
	mu      sync.Mutex
	records []keyedlog.Record
	random  *rand.Rand
	late    sync.WaitGroup
}

func (l *faultyLog) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

func (l *faultyLog) Append(_ context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
	unanswered := &keyedlog.Error{Kind: keyedlog.KindUnanswered, Op: "append", Detail: "no answer"}
	switch x := l.draw(); {
	case x < 0.1:
		return keyedlog.AppendResult{}, unanswered
	case x < 0.2:
		_, _ = l.apply(a)
		return keyedlog.AppendResult{}, unanswered
	case x < 0.3:
		l.late.Go(func() {
			time.Sleep(time.Duration(30*l.draw()) * time.Millisecond)
			_, _ = l.apply(a)
		})
		return keyedlog.AppendResult{}, unanswered
	default:
		return l.apply(a)
	}
}

func (l *faultyLog) apply(a keyedlog.Append) (keyedlog.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if a.At != nil && *a.At != end {
		return keyedlog.AppendResult{}, &keyedlog.Error{Kind: keyedlog.KindConflict, Op: "append", Number: end}
	}
	l.records = append(l.records, a.Records...)
	return keyedlog.AppendResult{Offset: end, End: int64(len(l.records))}, nil
}

func (l *faultyLog) Read(context.Context, keyedlog.Partition, int64, time.Duration) (keyedlog.Page, error) {
	return keyedlog.Page{}, nil
}

func (l *faultyLog) Newest(context.Context, keyedlog.Partition, string) (keyedlog.NewestPage, error) {
	return keyedlog.NewestPage{}, nil
}

// entries returns the records starting at an offset.
func (l *faultyLog) entries(from int64) []keyedlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []keyedlog.Entry
	for i := from; i < int64(len(l.records)); i++ {
		out = append(out, keyedlog.Entry{Offset: i, Record: l.records[i]})
	}
	return out
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestClaimsHaveOneHolderEach makes daemons claim the cell from each other
// while answers are lost and calls are executed late. It guards against an
// epoch with two holders, also where the holder does not know that its claim
// took effect, and against epochs that do not increase.
func TestClaimsHaveOneHolderEach(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			log := &faultyLog{random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // A test has to repeat.
			var (
				mu    sync.Mutex
				known = make(map[int64]string)
			)
			var group sync.WaitGroup
			const daemons, claims = 5, 60
			for i := range daemons {
				name := fmt.Sprintf("d%d", i)
				d := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: name, Address: name}, discardLogger())
				d.reset(nil)
				group.Go(func() {
					read := int64(0)
					for range claims {
						entries := log.entries(read)
						d.apply(entries)
						read += int64(len(entries))
						before := d.Current().Epoch
						claim, err := d.Claim(context.Background(), before)
						if err != nil {
							continue
						}
						if claim.Epoch <= before {
							t.Errorf("epoch %d replaces %d", claim.Epoch, before)
						}
						mu.Lock()
						if other, taken := known[claim.Epoch]; taken {
							t.Errorf("epoch %d is held by %s and %s", claim.Epoch, other, name)
						}
						known[claim.Epoch] = name
						mu.Unlock()
					}
				})
			}
			group.Wait()
			log.late.Wait()
			reader := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: "reader"}, discardLogger())
			reader.reset(nil)
			holders := make(map[int64]string)
			for _, e := range log.entries(0) {
				reader.apply([]keyedlog.Entry{e})
				holders[reader.Current().Epoch] = reader.Current().Holder.Name
			}
			if len(known) == 0 {
				t.Fatal("no claim was answered")
			}
			for epoch, name := range known {
				if holders[epoch] != name {
					t.Errorf("%s claimed epoch %d, according to the log its holder is %q", name, epoch, holders[epoch])
				}
			}
		})
	}
}

func TestShouldClaim(t *testing.T) {
	const now = time.Hour
	base := View{Now: now, Claimed: true, LastHeard: now, LogAnsweredAt: now}
	for name, c := range map[string]struct {
		change func(*View)
		want   bool
	}{
		"the holder is healthy":                    {func(*View) {}, false},
		"silent for a short time":                  {func(v *View) { v.LastHeard = now - silenceTimeout + 1 }, false},
		"silent":                                   {func(v *View) { v.LastHeard = now - silenceTimeout }, true},
		"silent, another rank is first":            {func(v *View) { v.LastHeard, v.Rank = now-silenceTimeout, 1 }, false},
		"silent, the first rank did not claim":     {func(v *View) { v.LastHeard, v.Rank = now-silenceTimeout-rankStagger, 1 }, true},
		"silent, the log does not answer":          {func(v *View) { v.LastHeard, v.LogAnsweredAt = now-time.Minute, now-maxLogSilence-1 }, false},
		"gone for a short time":                    {func(v *View) { v.GoneSince = now }, false},
		"gone":                                     {func(v *View) { v.GoneSince = now - goneDelay }, true},
		"asks for relief":                          {func(v *View) { v.RelieveSince = now - goneDelay }, true},
		"silent, terms are not stable":             {func(v *View) { v.LastHeard, v.BackoffDoublings = now-silenceTimeout<<2+1, 2 }, false},
		"silent beyond the backoff":                {func(v *View) { v.LastHeard, v.BackoffDoublings = now-silenceTimeout<<2, 2 }, true},
		"gone, terms are not stable":               {func(v *View) { v.GoneSince, v.BackoffDoublings = now-goneDelay, maxBackoffDoublings }, true},
		"silent, the log has just recovered":       {func(v *View) { v.LastHeard, v.LogFailedAt = now-time.Minute, now-logRecoveryTime+1 }, false},
		"silent, the log has recovered":            {func(v *View) { v.LastHeard, v.LogFailedAt = now-time.Minute, now-logRecoveryTime }, true},
		"log has recovered, another rank is first": {func(v *View) { v.LastHeard, v.LogFailedAt, v.Rank = now-time.Minute, now-logRecoveryTime, 1 }, false},
		"never claimed, for a short time":          {func(v *View) { v.Claimed = false }, false},
		"never claimed":                            {func(v *View) { v.Claimed, v.LastHeard = false, now-firstClaimDelay }, true},
		"never claimed, another rank is first":     {func(v *View) { v.Claimed, v.LastHeard, v.Rank = false, now-firstClaimDelay, 2 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			v := base
			c.change(&v)
			if got := ShouldClaim(v); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestRank(t *testing.T) {
	near, far := 2*time.Millisecond, 30*time.Millisecond
	members := []Member{{Name: "far", LogLatency: far}, {Name: "a", LogLatency: near}, {Name: "b", LogLatency: near}, {Name: "holder", LogLatency: near}}
	ranks := make(map[string]map[int]bool)
	for epoch := range int64(50) {
		seen := make(map[int]string)
		for _, name := range []string{"far", "a", "b"} {
			r := Rank(members, name, "holder", epoch)
			if other, twice := seen[r]; twice {
				t.Errorf("epoch %d: %s and %s have rank %d", epoch, name, other, r)
			}
			seen[r] = name
			if ranks[name] == nil {
				ranks[name] = make(map[int]bool)
			}
			ranks[name][r] = true
		}
		if seen[2] != "far" {
			t.Errorf("epoch %d: %s is last, want the member with the highest latency to the log", epoch, seen[2])
		}
	}
	if len(ranks["a"]) < 2 {
		t.Error("the same of two equally fit members is first in every epoch")
	}
	if got := Rank(members, "unknown", "holder", 1); got != 3 {
		t.Errorf("a daemon that is not a member has rank %d, want 3", got)
	}
}

func TestTermProof(t *testing.T) {
	c := NewTermProof(time.Second, 10*time.Second)
	if !c.Valid(11*time.Second) || c.Valid(11*time.Second+1) {
		t.Error("the grace period is not respected")
	}
	c.Confirm(12 * time.Second)
	c.Confirm(11 * time.Second)
	if c.ConfirmedAt() != 12*time.Second {
		t.Errorf("an earlier proof replaced a later one: %s", c.ConfirmedAt())
	}
}

// TestWeakMemberRanksLast ranks members with different numbers of processors.
// Those with far fewer come last even if they are near the log; among members
// of similar strength the latency to the log decides.
func TestWeakMemberRanksLast(t *testing.T) {
	near, far := 2*time.Millisecond, 30*time.Millisecond
	for name, c := range map[string]struct {
		members []Member
		want    []string
	}{
		"weak and strong": {[]Member{
			{Name: "weak", LogLatency: near, Processors: 0.192}, {Name: "far", LogLatency: far, Processors: 0.8}, {Name: "near", LogLatency: near, Processors: 0.8},
		}, []string{"near", "far", "weak"}},
		"similar strength": {[]Member{
			{Name: "a", LogLatency: far, Processors: 0.8}, {Name: "b", LogLatency: near, Processors: 0.5},
		}, []string{"b", "a"}},
		"all weak": {[]Member{
			{Name: "a", LogLatency: far, Processors: 0.1}, {Name: "b", LogLatency: near, Processors: 0.1},
		}, []string{"b", "a"}},
		"processors not reported": {[]Member{
			{Name: "a", LogLatency: far}, {Name: "b", LogLatency: near},
		}, []string{"b", "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			for rank, member := range c.want {
				if got := Rank(c.members, member, "holder", 7); got != rank {
					t.Errorf("%s has rank %d, want %d", member, got, rank)
				}
			}
		})
	}
}

// TestMemberRecordKeepsProcessors encodes and decodes a member's processors,
// including 0 for a daemon that does not report them.
func TestMemberRecordKeepsProcessors(t *testing.T) {
	for _, want := range []float64{0, 0.192, 12} {
		if got := newMemberRecord(Member{Processors: want}).member("m").Processors; got != want {
			t.Errorf("%v processors are decoded as %v", want, got)
		}
	}
}

// TestWeakDaemonClaimsAfterOutage makes the log of a cell without a holder
// return. All candidates have waited long enough to claim by then; each must
// still wait for its rank, so that the weak daemon does not claim first.
func TestWeakDaemonClaimsAfterOutage(t *testing.T) {
	const recovery = time.Hour
	members := []Member{{Name: "strong", Processors: 0.8}, {Name: "weak", Processors: 0.1}}
	claims := make(map[string]time.Duration)
	for _, self := range members {
		d := NewDirectory(&faultyLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), self, discardLogger())
		d.reset(nil)
		d.mu.Lock()
		d.members = map[string]Member{"strong": members[0], "weak": members[1]}
		d.mu.Unlock()
		d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "gone"}})
		seen := recovery - time.Minute
		e := NewElector(d, nil, clock.System(), func() time.Duration { return seen }, nil, nil, discardLogger())
		e.watchedEpoch, e.lastHeard = 1, seen
		for now := recovery - decideInterval; claims[self.Name] == 0 && now < recovery+time.Minute; now += decideInterval {
			if now >= recovery {
				seen = now
			}
			if _, due := e.claimDue(now); due {
				claims[self.Name] = now - recovery
			}
		}
	}
	if claims["strong"] == 0 || claims["strong"] > time.Second {
		t.Errorf("the strong daemon claims %s after the log has recovered", claims["strong"])
	}
	if claims["weak"] < claims["strong"]+rankStagger/2 {
		t.Errorf("the weak daemon claims after %s, the strong one after %s", claims["weak"], claims["strong"])
	}
}

// fakeClock is a clock that is set by the test.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time    { return time.Unix(0, 0).Add(c.now) }

// TestHolderReplacedBeforeItsTermBegins simulates holders whose terms take
// 4.4 s to begin and that answer no heartbeat until then. After several claims,
// one holder must get enough time to begin. Once its term has been stable, a
// silent holder must again be replaced without backoff.
func TestHolderReplacedBeforeItsTermBegins(t *testing.T) {
	const begins = 4400 * time.Millisecond
	c := &fakeClock{now: time.Hour}
	d := NewDirectory(&faultyLog{}, keyedlog.Partition{Topic: "cell"}, c, Member{Name: "self"}, discardLogger())
	d.reset(nil)
	d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "other", Incarnation: "x"}})
	e := NewElector(d, nil, c, func() time.Duration { return c.now }, nil, nil, discardLogger())
	e.observe()
	claims := 0
	for began := c.now; c.now-began < begins; c.now += decideInterval {
		if _, due := e.claimDue(c.now); due {
			claims++
			began = c.now
			d.ObserveClaim(Claim{Epoch: int64(1 + claims), Holder: Member{Name: "other", Incarnation: "x"}})
			e.observe()
		}
		if claims > 20 {
			t.Fatal("no term has begun after 20 claims")
		}
	}
	if claims > maxBackoffDoublings {
		t.Errorf("%d holders were replaced before a term began", claims)
	}
	claim := d.Current()
	for range int(stableTermTime/heartbeatInterval) + 1 {
		c.now += heartbeatInterval
		e.handleHeartbeat(claim, HeartbeatResponse{Incarnation: "x", Epoch: claim.Epoch}, false, nil)
		e.observe()
	}
	c.now += silenceTimeout
	if _, due := e.claimDue(c.now); !due {
		t.Error("a silent holder whose term was stable is not replaced without backoff")
	}
}
