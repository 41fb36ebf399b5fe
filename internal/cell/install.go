package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// applySnapshot takes a part of a snapshot. It matters to a reader that lacks
// the shard; others only note that the log holds it.
func (s *State) applySnapshot(effect *Effect, e *entry) {
	part := e.env.Snapshot
	err := checkPart(e.offset, part)
	if err == nil && part.Zone == "" {
		err = s.takeShared(effect, part)
	} else if err == nil {
		err = s.takeZone(effect, part)
	}
	if err != nil {
		effect.fail(err)
		return
	}
	effect.Valid = true
	if effect.SnapshotInstalled {
		s.settle()
	}
}

func (s *State) takeShared(effect *Effect, part *record.Snapshot) error {
	shard := s.shared
	if shard.known {
		part = stripped(part)
	}
	whole, complete := shard.parts.add(part)
	if !complete {
		return nil
	}
	if !shard.known && s.backlog.covers(whole.Through) {
		if err := s.installShared(whole); err != nil {
			return err
		}
		effect.SnapshotInstalled = true
	}
	shard.cover(whole.Through)
	return nil
}

// installShared takes the shared state from a snapshot, applies what stands
// behind it, and begins the zones that nobody had claimed by then.
func (s *State) installShared(whole *record.Snapshot) error {
	if err := s.shared.install(whole); err != nil {
		return err
	}
	for _, e := range s.backlog.after(whole.Through) {
		switch e.env.Kind {
		case record.KindConfig, record.KindTransfer, record.KindClaim:
			_ = s.shared.apply(e)
		}
	}
	claimed := make(map[string]bool, len(whole.Claims))
	for i := range whole.Claims {
		claimed[whole.Claims[i].Zone] = true
		s.zoneUnknown(whole.Claims[i].Zone)
	}
	for _, z := range s.shards() {
		if !z.known && !claimed[z.name] {
			z.begin()
			s.replay(z, whole.Through)
		}
	}
	return nil
}

// zoneUnknown makes the shard of a zone that needs a snapshot, if there is
// none.
func (s *State) zoneUnknown(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.zones[name]; !ok {
		s.zones[name] = newZoneShard(name, false, s.bounds.span)
	}
}

// replay applies the held records of a zone behind the given offset.
func (s *State) replay(z *zoneShard, through uint64) {
	for _, e := range s.backlog.after(through) {
		if zoneOf(e.env) != z.name || e.env.Kind == record.KindTransfer {
			continue
		}
		_, _ = z.apply(e)
	}
}

func (s *State) takeZone(effect *Effect, part *record.Snapshot) error {
	shard, ok := s.lookup(part.Zone)
	if !ok {
		if s.shared.known {
			return record.NewVoid(record.VoidInvalid, "zone %q was never claimed and has no snapshot", part.Zone)
		}
		shard = s.zone(part.Zone)
	}
	if shard.known {
		part = stripped(part)
	}
	whole, complete := shard.parts.add(part)
	if !complete {
		return nil
	}
	if !shard.known && s.backlog.covers(whole.Through) {
		if err := shard.install(whole); err != nil {
			return err
		}
		s.replay(shard, whole.Through)
		effect.SnapshotInstalled = true
	}
	shard.cover(whole.Through)
	return nil
}

// settle drops the held records once every shard is known.
func (s *State) settle() {
	if !s.shared.known {
		return
	}
	for _, z := range s.shards() {
		if !z.known {
			return
		}
	}
	s.waiting = false
	s.backlog.clear()
}

// cover notes the offset through which a whole snapshot stands in the log.
func (s *sharedShard) cover(through uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.covered = max(s.covered, through)
}

// cover notes the offset through which a whole snapshot stands in the log.
func (z *zoneShard) cover(through uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.covered = max(z.covered, through)
}
