package leadership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
)

// steadyLog is the cell's topic without faults.
type steadyLog struct{ faultyLog }

func (l *steadyLog) Append(_ context.Context, a keyedlog.Append) (keyedlog.AppendResult, error) {
	return l.apply(a)
}

// cellWith returns a topic and the directory of its holder, which have read the
// registrations of the named daemons.
func cellWith(t *testing.T, names ...string) (*steadyLog, map[string]*Directory) {
	t.Helper()
	log := &steadyLog{}
	directories := make(map[string]*Directory)
	for _, name := range names {
		d := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: name, Incarnation: name + "-1", Address: name}, discardLogger())
		if err := d.Register(context.Background()); err != nil {
			t.Fatal(err)
		}
		directories[name] = d
	}
	readAll(log, directories)
	return log, directories
}

// readAll makes all directories read the topic to its end.
func readAll(log *steadyLog, directories map[string]*Directory) {
	for _, d := range directories {
		d.reset(nil)
		d.apply(log.entries(0))
	}
}

func memberNames(d *Directory) string {
	out := ""
	for _, m := range d.Members() {
		out += m.Name + " "
	}
	return out
}

// TestStoppedDaemonLeavesMembers guards against daemons that stay members after
// a planned stop and are asked and ranked for good.
func TestStoppedDaemonLeavesMembers(t *testing.T) {
	log, cell := cellWith(t, "a", "b", "c")
	if err := cell["b"].Deregister(context.Background()); err != nil {
		t.Fatal(err)
	}
	readAll(log, cell)
	if got := memberNames(cell["a"]); got != "a c " {
		t.Errorf("members are %s", got)
	}
}

// TestLostDaemonIsRemoved guards against daemons whose machine was lost that
// stay members. The holder removes them; the delay for a rank no longer counts
// them, and a daemon that was removed by mistake notices it.
func TestLostDaemonIsRemoved(t *testing.T) {
	names := []string{"holder"}
	for i := range 40 {
		names = append(names, fmt.Sprintf("lost-%02d", i))
	}
	log, cell := cellWith(t, append(names, "alive")...)
	p, d := NewPresence(), cell["holder"]
	now := time.Hour
	for end := now + 30*time.Second; now < end; now += time.Second {
		p.Heard("alive", "alive-1", now)
		if silent := p.Silent(d.Members(), "holder", 7, now); len(silent) > 0 {
			if err := d.Remove(context.Background(), silent); err != nil {
				t.Fatal(err)
			}
			readAll(log, cell)
		}
	}
	if got := memberNames(cell["alive"]); got != "alive holder " {
		t.Errorf("members are %s", got)
	}
	if rank := Rank(cell["alive"].Members(), "alive", "holder", 7); rank != 0 {
		t.Errorf("the only candidate has rank %d", rank)
	}
	if !cell["lost-00"].Removed() || cell["alive"].Removed() {
		t.Error("a removed daemon does not notice it, or another one thinks that it was removed")
	}
	if err := cell["lost-00"].Register(context.Background()); err != nil {
		t.Fatal(err)
	}
	if cell["lost-00"].Removed() {
		t.Error("a registration that was not read yet counts as removed")
	}
	readAll(log, cell)
	if cell["lost-00"].Removed() || memberNames(d) != "alive holder lost-00 " {
		t.Errorf("members are %safter a new registration", memberNames(d))
	}
}

// TestLateRemovalSparesNextIncarnation executes the removal of a daemon after it
// has started anew: the append of a deregistration may take effect seconds
// later, and a holder may not have read the new registration.
func TestLateRemovalSparesNextIncarnation(t *testing.T) {
	log, cell := cellWith(t, "holder", "a")
	silent := []Member{cell["a"].Self()}
	next := NewDirectory(log, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: "a", Incarnation: "a-2"}, discardLogger())
	if err := next.Register(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := cell["holder"].Remove(context.Background(), silent); keyedlog.KindOf(err) != keyedlog.KindConflict {
		t.Errorf("removal beside an unread registration: %v, want a conflict", err)
	}
	readAll(log, cell)
	if err := cell["holder"].Remove(context.Background(), silent); err != nil || len(log.entries(0)) != 3 {
		t.Errorf("the next incarnation was removed: %v", err)
	}
	// The unconditional deregistration of the earlier incarnation arrives late.
	if _, err := log.apply(keyedlog.Append{Records: []keyedlog.Record{{Key: memberPrefix + "a"}}}); err != nil {
		t.Fatal(err)
	}
	readAll(log, map[string]*Directory{"a": next})
	if !next.Removed() {
		t.Error("the next incarnation does not notice that its record was removed")
	}
}

// TestPresence checks when a member counts as silent.
func TestPresence(t *testing.T) {
	const start = time.Hour
	members := []Member{{Name: "holder"}, {Name: "a", Incarnation: "1"}}
	for name, c := range map[string]struct {
		// heard maps the times of heartbeats, since start, to their incarnation.
		heard map[time.Duration]string
		// newer is when a newer term begins; 0 means never.
		newer time.Duration
		// pause is how long the holder is paused before the last check, at until.
		pause  time.Duration
		until  time.Duration
		silent bool
	}{
		"never heard":                        {until: 20 * time.Second, silent: true},
		"never heard, the term has begun":    {until: minMemberSilence},
		"heard lately":                       {heard: map[time.Duration]string{17 * time.Second: "1"}, until: 20 * time.Second},
		"heard long ago":                     {heard: map[time.Duration]string{5 * time.Second: "1"}, until: 20 * time.Second, silent: true},
		"an earlier incarnation was heard":   {heard: map[time.Duration]string{17 * time.Second: "0"}, until: 20 * time.Second},
		"a new term has begun":               {newer: 17 * time.Second, until: 20 * time.Second},
		"the holder was paused for a minute": {heard: map[time.Duration]string{2 * time.Second: "1"}, pause: time.Minute, until: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPresence()
			var silent []Member
			epoch := int64(3)
			for at := time.Duration(0); at <= c.until; at += time.Second {
				if incarnation, ok := c.heard[at]; ok {
					p.Heard("a", incarnation, start+at)
				}
				if c.newer > 0 && at >= c.newer {
					epoch = 4
				}
				silent = p.Silent(members, "holder", epoch, start+at)
			}
			if c.pause > 0 {
				silent = p.Silent(members, "holder", epoch, start+c.until+c.pause)
			}
			if got := len(silent) > 0; got != c.silent {
				t.Errorf("silent members %v, want any: %v", silent, c.silent)
			}
		})
	}
}

// TestPresenceAllowsForRank checks that a member of a large cell counts as silent
// only after it has missed several heartbeats of its rank.
func TestPresenceAllowsForRank(t *testing.T) {
	var members []Member
	for i := range 300 {
		members = append(members, Member{Name: fmt.Sprintf("d%03d", i), Incarnation: "1"})
	}
	p := NewPresence()
	pauses := make(map[string]time.Duration)
	for rank, m := range candidatesByRank(members, "d000", 1) {
		pauses[m.Name] = heartbeatPauseOf(rank)
	}
	next := make(map[string]time.Duration)
	for now := time.Hour; now < time.Hour+5*time.Minute; now += 200 * time.Millisecond {
		for name, pause := range pauses {
			if now >= next[name] {
				p.Heard(name, "1", now)
				// Every second heartbeat is lost.
				next[name] = now + 2*pause
			}
		}
		if now%time.Second != 0 {
			continue
		}
		if silent := p.Silent(members, "d000", 1, now); len(silent) > 0 {
			t.Fatalf("%d members that send heartbeats count as silent", len(silent))
		}
	}
}
