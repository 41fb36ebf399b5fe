package server

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"gopkg.in/tomb.v2"
)

const (
	// snapshotInterval is how often a holder checks for state that has to be
	// written again before the log's retention drops it.
	snapshotInterval = time.Second
	// maxRecordsBetweenSnapshots is the number of records after which state is
	// written again even if retention has dropped nothing yet.
	maxRecordsBetweenSnapshots = 200_000
	// ownHorizonPercent and othersHorizonPercent divide the retained part of
	// the log, counted from its oldest record. A holder writes the state of its
	// own zone again when that state depends on records below the first, and
	// the state of other zones, whose holders have failed to, below the second.
	ownHorizonPercent    = 50
	othersHorizonPercent = 25
	// snapshotTimeout limits how long appending one snapshot record may take.
	snapshotTimeout = 5 * time.Second
	// sharedStagger is the delay between two slots. Holders are spread over
	// slots so that they don't all write the shared snapshot at once.
	sharedStagger = 50 * time.Millisecond
	// sharedSlots is the number of slots over which holders are spread.
	sharedSlots = 8
)

// runSnapshots writes the snapshots that are due while this daemon holds its
// zone: that of the zone, and the shared one if no other holder wrote it first.
// It returns when t dies.
func (s *Server) runSnapshots(t *tomb.Tomb) error {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.self.AvailabilityZone))
	delay := time.Duration(hash.Sum32()%sharedSlots) * sharedStagger
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		if s.termManager.current() == nil {
			continue
		}
		sleep(t.Context(context.Background()), delay)
		s.writeSnapshots(t.Context(context.Background()))
	}
}

// writeSnapshots appends the snapshots that are due. A snapshot is due when the
// state it carries depends on records in the older half of the retained log, or
// on records older than the last maxRecordsBetweenSnapshots. If a zone's holder
// writes none, for example because it is cut off, other holders write the zone's
// snapshot once its state depends on records in the oldest quarter.
func (s *Server) writeSnapshots(ctx context.Context) {
	first, end := s.journal.Retained()
	for _, need := range s.journal.State().MissingSnapshots(horizon(first, end, ownHorizonPercent)) {
		if need.Zone == "" || need.Zone == s.self.AvailabilityZone {
			s.writeSnapshot(ctx, need)
		}
	}
	for _, need := range s.journal.State().MissingSnapshots(horizon(first, end, othersHorizonPercent)) {
		s.writeSnapshot(ctx, need)
	}
}

// horizon returns the offset below which records are old: state that depends on
// them has to be written again. first and end bound the retained log.
func horizon(first, end, percent uint64) uint64 {
	out := uint64(0)
	if first > 1 {
		out = first + (end-first)*percent/100
	}
	if percent == ownHorizonPercent && end > maxRecordsBetweenSnapshots {
		out = max(out, end-maxRecordsBetweenSnapshots)
	}
	return out
}

// writeSnapshot appends the records of one snapshot. It stops at the first record
// that is not confirmed.
func (s *Server) writeSnapshot(ctx context.Context, need cell.MissingSnapshot) {
	state := s.journal.State()
	parts := state.SnapshotShared()
	if need.Zone != "" {
		parts = state.SnapshotZone(need.Zone)
	}
	for _, part := range parts {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		effect, err := s.journal.Append(ctx, &record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		cancel()
		if err != nil {
			s.log.Warn("append of a snapshot record was not confirmed", "zone", need.Zone, "part", part.Part, "error", err)
			return
		}
		s.log.Info("snapshot written", "zone", need.Zone, "part", part.Part, "parts", part.Parts, "through", part.Through, "offset", effect.Offset)
	}
}
