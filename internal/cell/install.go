package cell

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// applySnapshot applies one part of a snapshot. A reader that doesn't know the
// shard needs the contents; other readers only record that the log has it.
func (s *State) applySnapshot(effect *Effect, e *entry) {
	part := e.envelope.Snapshot
	err := validatePart(e.offset, part)
	if err == nil && part.Zone == "" {
		err = s.applySharedPart(effect, part)
	} else if err == nil {
		err = s.applyZonePart(effect, part)
	}
	if err != nil {
		effect.fail(err)
		return
	}
	effect.Valid = true
	if effect.SnapshotInstalled {
		s.dropBacklogIfKnown()
	}
}

// applySharedPart adds a part of a snapshot of the shared shard, and installs
// the snapshot if it is complete and the shard isn't known.
func (s *State) applySharedPart(effect *Effect, part *record.Snapshot) error {
	shard := s.shared
	if shard.known {
		part = withoutContents(part)
	}
	whole, complete := shard.snapshots.add(part)
	if !complete {
		return nil
	}
	if !shard.known && s.backlog.covers(whole.Through) {
		if err := s.installShared(whole); err != nil {
			return err
		}
		effect.SnapshotInstalled = true
	}
	shard.recordCoverage(whole.Through)
	return nil
}

// installShared installs a complete snapshot of the shared state and applies
// the later records of the backlog. Zones that the snapshot doesn't list were
// not claimed then; they start empty.
func (s *State) installShared(whole *record.Snapshot) error {
	if err := s.shared.install(whole); err != nil {
		return err
	}
	for _, e := range s.backlog.entriesAfter(whole.Through) {
		switch e.envelope.Kind {
		case record.KindConfig, record.KindTransfer, record.KindClaim:
			_ = s.shared.apply(e)
		}
	}
	claimed := make(map[string]bool, len(whole.Claims))
	for i := range whole.Claims {
		claimed[whole.Claims[i].Zone] = true
		s.addUnknownZone(whole.Claims[i].Zone)
	}
	for _, z := range s.shards() {
		if !z.known && !claimed[z.name] {
			z.markUnclaimed()
			s.replayBacklog(z, whole.Through)
		}
	}
	return nil
}

// addUnknownZone adds the shard of a claimed zone, which stays unknown until a
// snapshot of it is read. It does nothing if there is such a shard.
func (s *State) addUnknownZone(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.zones[name]; !ok {
		s.zones[name] = newZoneShard(name, false, s.limits.seenWindow)
	}
}

// replayBacklog applies the records of a zone in the backlog that follow the
// given offset.
func (s *State) replayBacklog(z *zoneShard, through uint64) {
	for _, e := range s.backlog.entriesAfter(through) {
		if recordZone(e.envelope) != z.name || e.envelope.Kind == record.KindTransfer {
			continue
		}
		_, _ = z.apply(e)
	}
}

// applyZonePart adds a part of a snapshot of a zone, and installs the
// snapshot if it is complete and the shard isn't known.
func (s *State) applyZonePart(effect *Effect, part *record.Snapshot) error {
	shard, ok := s.lookup(part.Zone)
	if !ok {
		if s.shared.known {
			return record.NewVoid(record.VoidInvalid, "zone %q was never claimed and can't have a snapshot", part.Zone)
		}
		shard = s.ensureZone(part.Zone)
	}
	if shard.known {
		part = withoutContents(part)
	}
	whole, complete := shard.snapshots.add(part)
	if !complete {
		return nil
	}
	if !shard.known && s.backlog.covers(whole.Through) {
		if err := shard.install(whole); err != nil {
			return err
		}
		s.replayBacklog(shard, whole.Through)
		effect.SnapshotInstalled = true
	}
	shard.recordCoverage(whole.Through)
	return nil
}

// dropBacklogIfKnown drops the backlog once every shard is known.
func (s *State) dropBacklogIfKnown() {
	if !s.shared.known {
		return
	}
	for _, z := range s.shards() {
		if !z.known {
			return
		}
	}
	s.catchingUp = false
	s.backlog.clear()
}

// recordCoverage records that a complete snapshot through the given offset is
// in the log.
func (s *sharedShard) recordCoverage(through uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coveredThrough = max(s.coveredThrough, through)
}

// recordCoverage records that a complete snapshot through the given offset is
// in the log.
func (z *zoneShard) recordCoverage(through uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.coveredThrough = max(z.coveredThrough, through)
}
