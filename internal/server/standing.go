package server

import (
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/peer"
	"gopkg.in/tomb.v2"
)

// gaugeInterval is how often gauges are set.
const gaugeInterval = time.Second

// standing is the daemon's part in its zone at present.
func (s *Server) standing() peer.TermStatus {
	out := peer.TermStatus{Leaving: s.leaving.Load()}
	if term := s.termManager.current(); term != nil {
		out.Epoch, out.Generation = term.Epoch(), term.Generation()
	}
	return out
}

// neverProven is the doubt before the first proof.
const neverProven = 1000 * time.Hour

// configStaleness is how long ago the configuration applied here was last proven to be
// the latest that anyone can have been told is accepted. That is so when the
// log was read to its end, here or by a daemon that was heard; and also when
// the holders of all other zones were heard and none has read further, since
// a publication is reported accepted only after a daemon has read it.
func (s *Server) configStaleness() time.Duration {
	doubt := neverProven
	if age, _, ok := s.journal.Fresh(); ok {
		doubt = age
	}
	allZones := s.table.AllZones()
	if allZones.IsZero() || s.table.HighestApplied() > s.journal.State().Applied() {
		return doubt
	}
	return min(doubt, time.Since(allZones))
}

// notReady says why the daemon should get no requests, or "".
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
	if _, held := s.journal.State().Epoch(s.self.AvailabilityZone); !held {
		return "the zone has no holder"
	}
	return ""
}

// waitingLimit is the bound on waiting requests at present.
func (s *Server) waitingLimit() int { return int(s.maxWaiting.Load()) }

// linkOf labels the link to another daemon for the byte counters.
func (s *Server) linkOf(address string) string {
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

// runGauges sets the gauges that change with time alone.
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
