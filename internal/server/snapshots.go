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
	// snapshotInterval is how often a holder looks for state that has to be
	// carried past the log's retention.
	snapshotInterval = time.Second
	// snapshotRecords is the number of records after which state is written
	// again even if retention has dropped nothing yet.
	snapshotRecords = 200_000
	// ownHorizon and othersHorizon are the parts of what the log keeps, in
	// percent from its begin, below which a holder writes the state of its own
	// zone and that of zones whose holders have not done so.
	ownHorizon    = 50
	othersHorizon = 25
	// snapshotTimeout bounds the append of one snapshot record.
	snapshotTimeout = 5 * time.Second
	// sharedStagger spreads the daemons that would write the shared snapshot.
	sharedStagger = 50 * time.Millisecond
	// sharedPlaces is the number of places over which they are spread.
	sharedPlaces = 8
)

// runSnapshots writes snapshots while this daemon holds its zone: those of the
// zone, and the shared one if no other holder was first.
func (s *Server) runSnapshots(t *tomb.Tomb) error {
	place := fnv.New32a()
	_, _ = place.Write([]byte(s.self.AvailabilityZone))
	delay := time.Duration(place.Sum32()%sharedPlaces) * sharedStagger
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
		waitFor(t.Context(context.Background()), delay)
		s.writeSnapshots(t.Context(context.Background()))
	}
}

// writeSnapshots appends the snapshots that are due. A snapshot is due when
// the state it carries rests on records in the older half of what the log
// keeps, or on more than snapshotRecords records. A zone whose holder writes
// none, as when it is cut off, is written by others in the last quarter.
func (s *Server) writeSnapshots(ctx context.Context) {
	first, end := s.journal.Kept()
	for _, need := range s.journal.State().MissingSnapshots(horizon(first, end, ownHorizon)) {
		if need.Zone == "" || need.Zone == s.self.AvailabilityZone {
			s.writeSnapshot(ctx, need)
		}
	}
	for _, need := range s.journal.State().MissingSnapshots(horizon(first, end, othersHorizon)) {
		s.writeSnapshot(ctx, need)
	}
}

// horizon is the offset below which state has to be written again.
func horizon(first, end, percent uint64) uint64 {
	out := uint64(0)
	if first > 1 {
		out = first + (end-first)*percent/100
	}
	if percent == ownHorizon && end > snapshotRecords {
		out = max(out, end-snapshotRecords)
	}
	return out
}

// writeSnapshot appends the records of one snapshot.
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
			s.log.Warn("snapshot not confirmed", "zone", need.Zone, "part", part.Part, "error", err)
			return
		}
		s.log.Info("snapshot written", "zone", need.Zone, "part", part.Part, "parts", part.Parts, "through", part.Through, "offset", effect.Offset)
	}
}
