package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Minimum ratios between intervals.
const (
	// heartbeatsPerLease keeps a lease from lapsing when single heartbeats
	// are lost.
	heartbeatsPerLease = 3
	// heartbeatsPerTakeover keeps one lost heartbeat from causing a takeover.
	heartbeatsPerTakeover = 2
)

// findConflicts reports values that contradict each other.
func findConflicts(s *Settings) Errors {
	var errs Errors
	errs = append(errs, findAddressConflicts(s)...)
	errs = append(errs, findIntervalConflicts(s)...)
	if t := s.TLS; !t.Enabled() && t != (TLS{}) {
		errs = append(errs, conflictError("tls", "cert", "only some of cert, key and ca are set",
			"set all three, or none to turn TLS off"))
	}
	return errs
}

func conflictError(section, key, rule, remedy string) *Error {
	return &Error{
		Kind:    KindConflict,
		Section: section,
		Key:     key,
		Rule:    rule,
		Remedy:  remedy,
	}
}

// findAddressConflicts reports pairs of listen addresses that can't be open at
// the same time.
func findAddressConflicts(s *Settings) Errors {
	keys := []string{"api", "peer", "admin"}
	addresses := []string{s.Listen.API, s.Listen.Peer, s.Listen.Admin}
	var errs Errors
	for i := range addresses {
		for j := range i {
			if !addressesOverlap(addresses[i], addresses[j]) {
				continue
			}
			errs = append(errs, conflictError("listen", keys[i],
				fmt.Sprintf("%s overlaps with %s = %s", addresses[i], keys[j], addresses[j]),
				"give each its own port"))
		}
	}
	return errs
}

// addressesOverlap reports whether two valid addresses share a port on a
// common IP address. An unspecified IP address stands for all of them, of both
// families.
func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr().Unmap() == y.Addr().Unmap() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// findIntervalConflicts reports intervals that are too long in relation to
// another interval.
func findIntervalConflicts(s *Settings) Errors {
	var errs Errors
	if s.Zone.Heartbeat*heartbeatsPerLease > s.Zone.Lease {
		errs = append(errs, intervalTooLong("zone", "heartbeat", s.Zone.Heartbeat, s.Zone.Lease/heartbeatsPerLease, "a third of zone.lease"))
	}
	if s.Zone.Heartbeat*heartbeatsPerTakeover > s.Zone.TakeoverAfter {
		errs = append(errs, intervalTooLong("zone", "heartbeat", s.Zone.Heartbeat, s.Zone.TakeoverAfter/heartbeatsPerTakeover, "half of zone.takeover_after"))
	}
	if s.Platform.ReadWait >= s.Freshness.KeyBound {
		errs = append(errs, conflictError("platform", "read_wait",
			fmt.Sprintf("%s is not shorter than freshness.key_bound, %s", s.Platform.ReadWait, s.Freshness.KeyBound),
			"shorten read_wait, so that an idle log still proves the configuration fresh"))
	}
	return errs
}

func intervalTooLong(section, key string, value, limit time.Duration, limitName string) *Error {
	return conflictError(section, key,
		fmt.Sprintf("%s is more than %s", value, limitName),
		fmt.Sprintf("set at most %s", limit))
}

// checkFiles reports the TLS files in s that can't be read; name is the
// settings file.
func checkFiles(s *Settings, name string) error {
	files := []struct{ key, path string }{
		{"cert", s.TLS.Cert},
		{"key", s.TLS.Key},
		{"ca", s.TLS.CA},
	}
	var errs Errors
	for _, f := range files {
		if f.path == "" {
			continue
		}
		if _, err := os.ReadFile(f.path); err != nil {
			errs = append(errs, &Error{
				Kind:    KindUnreadable,
				File:    name,
				Section: "tls",
				Key:     f.key,
				Rule:    err.Error(),
				Remedy:  "give the path of a file that the daemon may read",
			})
		}
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}
