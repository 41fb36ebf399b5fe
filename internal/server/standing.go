package server

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"gopkg.in/tomb.v2"
)

// gaugeInterval is how often the time-dependent gauges are set.
const gaugeInterval = time.Second

// termStatus returns the epoch and ticket generation of the term that runs here,
// if any, and whether the daemon is leaving.
func (s *Server) termStatus() peer.TermStatus {
	out := peer.TermStatus{Leaving: s.leaving.Load()}
	if term := s.termManager.current(); term != nil {
		out.Epoch, out.Generation = term.Epoch(), term.Generation()
	}
	return out
}

// unprovenStaleness is the staleness reported before the first proof of freshness.
const unprovenStaleness = 1000 * time.Hour

// configStaleness returns how long ago the configuration applied here was last
// proven to be the latest accepted one. There are two proofs. The first is that
// the log was read to its end, by this daemon or by one that sent a heartbeat. The
// second is that the holders of all other zones sent heartbeats and no daemon has
// reported that it has read further in the log: a publication is reported as
// accepted only after a daemon has read it.
func (s *Server) configStaleness() time.Duration {
	staleness := unprovenStaleness
	if age, _, ok := s.journal.Fresh(); ok {
		staleness = age
	}
	allZones := s.table.AllZonesHeard()
	if allZones.IsZero() || s.table.HighestApplied() > s.journal.State().Applied() {
		return staleness
	}
	return min(staleness, time.Since(allZones))
}

// notReady returns why the daemon should receive no requests, or "" if it is
// ready.
func (s *Server) notReady() string {
	switch {
	case s.leaving.Load():
		return "the daemon is shutting down"
	case !s.directory.Ready():
		return "the instance list has not been read yet"
	}
	if _, version := s.journal.State().Config(); version == 0 {
		return "no configuration is in force here"
	}
	if _, held := s.journal.State().Claim(s.self.AvailabilityZone); !held {
		return "the zone has no holder"
	}
	return ""
}

// waitingLimit returns the current limit on the requests that are in flight at
// the client interface, and on those that wait at the holder.
func (s *Server) waitingLimit() int { return int(s.maxWaiting.Load()) }

// linkLabel returns the label under which the bytes exchanged with a daemon are
// counted: whether it is in the same zone, in the same region or remote, or not
// listed.
func (s *Server) linkLabel(address string) string {
	found := s.directory.Listed(func(i loglist.Instance) bool { return i.Address == address })
	switch {
	case len(found) == 0:
		return "unlisted"
	case found[0].AvailabilityZone == s.self.AvailabilityZone:
		return "zone"
	case found[0].Region == s.self.Region:
		return "region"
	}
	return "remote"
}

// runGauges sets the gauges whose values change with time alone, until t dies.
func (s *Server) runGauges(t *tomb.Tomb) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			metrics.FreshAgeMS.Set(s.configStaleness().Milliseconds())
		}
	}
}
