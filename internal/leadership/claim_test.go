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

// claimLog is the cell's topic: it appends under the condition that the topic
// ends where the caller says, and may lose answers or carry out calls late.
type claimLog struct {
	mu      sync.Mutex
	records []keyedlog.Record
	random  *rand.Rand
	late    sync.WaitGroup
}

func (l *claimLog) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

func (l *claimLog) Append(_ context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
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

func (l *claimLog) apply(a keyedlog.Append) (keyedlog.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if a.At != nil && *a.At != end {
		return keyedlog.AppendResult{}, &keyedlog.Error{Kind: keyedlog.KindConflict, Op: "append", Number: end}
	}
	l.records = append(l.records, a.Records...)
	return keyedlog.AppendResult{Offset: end, End: int64(len(l.records))}, nil
}

func (l *claimLog) Read(context.Context, keyedlog.Partition, int64, time.Duration) (keyedlog.Page, error) {
	return keyedlog.Page{}, nil
}

func (l *claimLog) Newest(context.Context, keyedlog.Partition, string) (keyedlog.NewestPage, error) {
	return keyedlog.NewestPage{}, nil
}

// entries returns the records from an offset on.
func (l *claimLog) entries(from int64) []keyedlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []keyedlog.Entry
	for i := from; i < int64(len(l.records)); i++ {
		out = append(out, keyedlog.Entry{Offset: i, Record: l.records[i]})
	}
	return out
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestClaimsHaveOneHolderEach has daemons claim the cell from each other while
// answers are lost and calls are carried out late. An epoch has one holder, also
// if that one does not know it, and later claims have higher epochs.
func TestClaimsHaveOneHolderEach(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			log := &claimLog{random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // A test has to repeat.
			var (
				mu    sync.Mutex
				known = make(map[int64]string)
			)
			var group sync.WaitGroup
			const daemons, claims = 5, 60
			for i := range daemons {
				name := fmt.Sprintf("d%d", i)
				d := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: name, Address: name}, quiet())
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
			reader := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: "reader"}, quiet())
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
					t.Errorf("%s was told that it holds epoch %d, the log says %q", name, epoch, holders[epoch])
				}
			}
		})
	}
}

func TestShouldClaim(t *testing.T) {
	const now = time.Hour
	base := View{Now: now, Claimed: true, Heard: now, LogSeen: now}
	for name, c := range map[string]struct {
		change func(*View)
		want   bool
	}{
		"the holder is well":            {func(*View) {}, false},
		"silent, not for long":          {func(v *View) { v.Heard = now - silentAfter + 1 }, false},
		"silent":                        {func(v *View) { v.Heard = now - silentAfter }, true},
		"silent, another goes first":    {func(v *View) { v.Heard, v.Rank = now-silentAfter, 1 }, false},
		"silent, the first did not":     {func(v *View) { v.Heard, v.Rank = now-silentAfter-rankStagger, 1 }, true},
		"silent, no log here":           {func(v *View) { v.Heard, v.LogSeen = now-time.Minute, now-logFresh-1 }, false},
		"gone just now":                 {func(v *View) { v.Gone = now }, false},
		"gone":                          {func(v *View) { v.Gone = now - goneAfter }, true},
		"asks for relief":               {func(v *View) { v.Relieve = now - goneAfter }, true},
		"silent, terms don't last":      {func(v *View) { v.Heard, v.Patience = now-silentAfter<<2+1, 2 }, false},
		"silent for long":               {func(v *View) { v.Heard, v.Patience = now-silentAfter<<2, 2 }, true},
		"gone, terms don't last":        {func(v *View) { v.Gone, v.Patience = now-goneAfter, mostPatience }, true},
		"silent, the log is just back":  {func(v *View) { v.Heard, v.LogFailed = now-time.Minute, now-logSettle+1 }, false},
		"silent, the log is back":       {func(v *View) { v.Heard, v.LogFailed = now-time.Minute, now-logSettle }, true},
		"log is back, another is first": {func(v *View) { v.Heard, v.LogFailed, v.Rank = now-time.Minute, now-logSettle, 1 }, false},
		"never claimed, just now":       {func(v *View) { v.Claimed = false }, false},
		"never claimed":                 {func(v *View) { v.Claimed, v.Heard = false, now-firstWait }, true},
		"never claimed, another first":  {func(v *View) { v.Claimed, v.Heard, v.Rank = false, now-firstWait, 2 }, false},
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
	members := []Member{{Name: "far", LogTime: far}, {Name: "a", LogTime: near}, {Name: "b", LogTime: near}, {Name: "holder", LogTime: near}}
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
			t.Errorf("epoch %d: %s is last, want the one that is far from the log", epoch, seen[2])
		}
	}
	if len(ranks["a"]) < 2 {
		t.Error("the same of two equals goes first at every epoch")
	}
	if got := Rank(members, "stranger", "holder", 1); got != 3 {
		t.Errorf("one that is no member has rank %d, want the last", got)
	}
}

func TestCurrency(t *testing.T) {
	c := NewTermProof(time.Second, 10*time.Second)
	if !c.Valid(11*time.Second) || c.Valid(11*time.Second+1) {
		t.Error("the grace is not kept to")
	}
	c.Prove(12 * time.Second)
	c.Prove(11 * time.Second)
	if c.Proven() != 12*time.Second {
		t.Errorf("an earlier proof counts: %s", c.Proven())
	}
}

// TestWeakMemberRanksLast ranks members of unlike strength: those with far fewer
// processors go last, also if they are near the log; where all are alike, the
// way to the log decides.
func TestWeakMemberRanksLast(t *testing.T) {
	near, far := 2*time.Millisecond, 30*time.Millisecond
	for name, c := range map[string]struct {
		members []Member
		want    []string
	}{
		"weak and strong": {[]Member{
			{Name: "weak", LogTime: near, Processors: 0.192}, {Name: "far", LogTime: far, Processors: 0.8}, {Name: "near", LogTime: near, Processors: 0.8},
		}, []string{"near", "far", "weak"}},
		"about as strong": {[]Member{
			{Name: "a", LogTime: far, Processors: 0.8}, {Name: "b", LogTime: near, Processors: 0.5},
		}, []string{"b", "a"}},
		"all weak": {[]Member{
			{Name: "a", LogTime: far, Processors: 0.1}, {Name: "b", LogTime: near, Processors: 0.1},
		}, []string{"b", "a"}},
		"strength not told": {[]Member{
			{Name: "a", LogTime: far}, {Name: "b", LogTime: near},
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

// TestMemberRecordKeepsStrength writes a member's record and reads it back, and
// one of a daemon that does not tell its processors.
func TestMemberRecordKeepsStrength(t *testing.T) {
	for _, want := range []float64{0, 0.192, 12} {
		if got := stored(Member{Processors: want}).member("m").Processors; got != want {
			t.Errorf("%v processors read back as %v", want, got)
		}
	}
}

// TestWeakDaemonClaimsAfterOutage has the log of a cell without a holder return:
// although all candidates have waited for long, each claims in its turn.
func TestWeakDaemonClaimsAfterOutage(t *testing.T) {
	const back = time.Hour
	members := []Member{{Name: "strong", Processors: 0.8}, {Name: "weak", Processors: 0.1}}
	claims := make(map[string]time.Duration)
	for _, self := range members {
		d := NewDirectory(&claimLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), self, quiet())
		d.reset(nil)
		d.mu.Lock()
		d.members = map[string]Member{"strong": members[0], "weak": members[1]}
		d.mu.Unlock()
		d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "gone"}})
		seen := back - time.Minute
		e := NewElector(d, nil, clock.System(), func() time.Duration { return seen }, nil, nil, quiet())
		e.watched, e.heard = 1, seen
		for now := back - decideInterval; claims[self.Name] == 0 && now < back+time.Minute; now += decideInterval {
			if now >= back {
				seen = now
			}
			if _, due := e.due(now); due {
				claims[self.Name] = now - back
			}
		}
	}
	if claims["strong"] == 0 || claims["strong"] > time.Second {
		t.Errorf("the strong daemon claims %s after the return of the log", claims["strong"])
	}
	if claims["weak"] < claims["strong"]+rankStagger/2 {
		t.Errorf("the weak daemon claims after %s, the strong one after %s", claims["weak"], claims["strong"])
	}
}

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time    { return time.Unix(0, 0).Add(c.now) }

// TestHolderReplacedBeforeItsTermBegins has daemons whose terms take 4.4 s to
// begin and that answer no heartbeat meanwhile: after some claims, one is given
// the time. Once its term has lasted, a silent holder is replaced at once again.
func TestHolderReplacedBeforeItsTermBegins(t *testing.T) {
	const begins = 4400 * time.Millisecond
	c := &fakeClock{now: time.Hour}
	d := NewDirectory(&claimLog{}, keyedlog.Partition{Topic: "cell"}, c, Member{Name: "self"}, quiet())
	d.reset(nil)
	d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "other", Incarnation: "x"}})
	e := NewElector(d, nil, c, func() time.Duration { return c.now }, nil, nil, quiet())
	e.observe()
	claims := 0
	for began := c.now; c.now-began < begins; c.now += decideInterval {
		if _, due := e.due(c.now); due {
			claims++
			began = c.now
			d.ObserveClaim(Claim{Epoch: int64(1 + claims), Holder: Member{Name: "other", Incarnation: "x"}})
			e.observe()
		}
		if claims > 20 {
			t.Fatal("no term can begin")
		}
	}
	if claims > mostPatience {
		t.Errorf("%d holders were replaced before one could begin", claims)
	}
	claim := d.Current()
	for range int(settled/beatInterval) + 1 {
		c.now += beatInterval
		e.take(claim, HeartbeatResponse{Incarnation: "x", Epoch: claim.Epoch}, false, nil)
		e.observe()
	}
	c.now += silentAfter
	if _, due := e.due(c.now); !due {
		t.Error("a silent holder whose term had lasted is not replaced at once")
	}
}
