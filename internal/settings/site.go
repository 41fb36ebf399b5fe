package settings

import (
	"fmt"
	"log/slog"
	"time"
)

// Site is everything that a daemon on the platform learns at its start.
type Site struct {
	Instance SiteInstance
	Listen   SiteListen
	Reach    SiteReach
	Limits   SiteLimits
	Bounds   SiteBounds
	Log      Log
}

// SiteInstance says which instance this is and where.
type SiteInstance struct {
	Name   string
	Zone   string
	Region string
}

// SiteListen gives the addresses, each an IP number and a port.
type SiteListen struct {
	// Callers is where jobs are submitted.
	Callers string
	// Ready answers whether the daemon wants callers' connections.
	Ready string
	// Peer is where other daemons connect.
	Peer string
	// Admin serves metrics.
	Admin string
}

// SiteReach says where the platform is.
type SiteReach struct {
	Store       string
	Eligibility string
}

// SiteLimits says what the instance has.
type SiteLimits struct {
	MemoryMB int
	// ProcessorMilli is the processor time that the process may use a second,
	// in milliseconds.
	ProcessorMilli int
	// ProcessorSpeed is how many times as fast as one core that processor is.
	ProcessorSpeed int
}

// SiteBounds holds the figures that the deployment is bound to.
type SiteBounds struct {
	// Revoke is how long a withdrawn key may work.
	Revoke time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// LeaseMax is the longest lease that endpoints grant.
	LeaseMax time.Duration
	// StopGrace is the longest that stopping a task takes.
	StopGrace time.Duration
	// GangWait is how long a gang's members wait for each other.
	GangWait time.Duration
	// StateKept is for how long the state of an ended job is told.
	StateKept time.Duration
	// RateWindow is the span over which a customer's rate is judged.
	RateWindow time.Duration
	// FarPercent is how long a task takes away from its data or its gang's
	// rack, in hundredths of its time there.
	FarPercent int
}

const (
	// shortestBound and longestBound are the least and most that a bound of a
	// deployment can sensibly be.
	shortestBound = 10 * time.Millisecond
	longestBound  = 24 * time.Hour
)

// site describes the settings of a daemon on the platform.
var site = Schema[Site]{
	program: "bluebellstiled on the platform",
	command: "bluebellstiled -site -sample",
	source:  "internal/settings/site.go",
	intro:   siteIntro,
	keys: []Key[Site]{
		required(name("instance", "name", "Name of this instance, unique in the cell.",
			func(s *Site) *string { return &s.Instance.Name }), "front-quimper-a-1"),
		required(name("instance", "zone", "Availability zone of this instance.",
			func(s *Site) *string { return &s.Instance.Zone }), "quimper-a"),
		required(name("instance", "region", "Region of the availability zone.",
			func(s *Site) *string { return &s.Instance.Region }), "finistere"),

		required(address("listen", "callers", "", "Address where callers submit jobs.",
			func(s *Site) *string { return &s.Listen.Callers }), "192.0.2.1:8183"),
		required(address("listen", "ready", "", "Address where the platform asks whether the daemon is ready.",
			func(s *Site) *string { return &s.Listen.Ready }), "192.0.2.1:8184"),
		required(peerAddress(address("listen", "peer", "", "Address that other daemons connect to. It is published, so it must be one that they can reach.",
			func(s *Site) *string { return &s.Listen.Peer })), "192.0.2.1:7420"),
		required(address("listen", "admin", "", "Address of metrics.",
			func(s *Site) *string { return &s.Listen.Admin }), "192.0.2.1:7421"),

		required(address("reach", "store", "", "Address of the platform's metadata store.",
			func(s *Site) *string { return &s.Reach.Store }), "192.0.2.7:8182"),
		address("reach", "eligibility", "", "Address of the service that knows which endpoints may run a step; empty if there is none.",
			func(s *Site) *string { return &s.Reach.Eligibility }),

		count("limits", "memory_mb", "megabytes", 256, 32, 1<<20, "Memory that the process may use.",
			func(s *Site) *int { return &s.Limits.MemoryMB }),
		thousandths("limits", "processor_share", "1", "Share of a processor that the process may use.", 1, 1024*milli,
			func(s *Site) *int { return &s.Limits.ProcessorMilli }),
		count("limits", "processor_speed", "times one core", 1, 1, 1024, "How fast that processor is.",
			func(s *Site) *int { return &s.Limits.ProcessorSpeed }),

		duration("bounds", "revoke", 5*time.Second, shortestBound, longestBound, "How long a withdrawn key may work.",
			func(s *Site) *time.Duration { return &s.Bounds.Revoke }),
		duration("bounds", "grace", 6*time.Second, shortestBound, longestBound, "How long a planned stop may take before the process is killed.",
			func(s *Site) *time.Duration { return &s.Bounds.Grace }),
		duration("bounds", "lease_max", 6*time.Second, shortestBound, longestBound, "Longest lease that endpoints grant.",
			func(s *Site) *time.Duration { return &s.Bounds.LeaseMax }),
		duration("bounds", "stop_grace", time.Second, shortestBound, longestBound, "Longest that stopping a task takes.",
			func(s *Site) *time.Duration { return &s.Bounds.StopGrace }),
		duration("bounds", "gang_wait", 3*time.Second, shortestBound, longestBound, "How long a gang's members wait for each other.",
			func(s *Site) *time.Duration { return &s.Bounds.GangWait }),
		duration("bounds", "state_kept", 2*time.Minute, shortestBound, longestBound, "For how long the state of an ended job is told.",
			func(s *Site) *time.Duration { return &s.Bounds.StateKept }),
		duration("bounds", "rate_window", 5*time.Second, shortestBound, longestBound, "Span over which a customer's rate of jobs is judged.",
			func(s *Site) *time.Duration { return &s.Bounds.RateWindow }),
		factor("bounds", "far_factor", "1.5", "How much longer a task takes away from its data or its gang's rack.",
			func(s *Site) *int { return &s.Bounds.FarPercent }),

		reloadable(level("log", "level", "info", "Least level that is logged.",
			func(s *Site) *slog.Level { return &s.Log.Level })),
		choice("log", "format", []string{string(LogText), string(LogJSON)}, "Form of log lines.",
			func(s *Site) *LogFormat { return &s.Log.Format }),
	},
}

// LoadSite reads the settings file of a daemon on the platform.
func LoadSite(path string) (*Site, error) { return site.load(path) }

// ParseSite reads settings; name stands for the file in messages.
func ParseSite(data []byte, name string) (*Site, error) { return site.parse(data, name) }

// SampleSite returns a settings file with every key.
func SampleSite() string { return site.sample() }

// DocumentSite returns the reference page of the settings, in Markdown.
func DocumentSite() string { return site.document() }

// Reload returns a copy of s with the reloadable keys of next, and the names
// of other keys that differ and need a restart of the daemon.
func (s *Site) Reload(next *Site) (*Site, []string) { return site.reload(s, next) }

// FarFactor returns how much longer a task takes away from its data.
func (b *SiteBounds) FarFactor() float64 { return float64(b.FarPercent) / percent }

// Processors returns how many cores' work the process may do.
func (l *SiteLimits) Processors() float64 {
	return float64(l.ProcessorMilli*l.ProcessorSpeed) / milli
}

// String returns the settings for the line that is logged at the start.
func (s *Site) String() string {
	return fmt.Sprintf("%s in %s/%s", s.Instance.Name, s.Instance.Region, s.Instance.Zone)
}

// siteIntro begins the reference page of the settings.
const siteIntro = "On the platform the daemon reads one INI file, named by `-config` or by the variable `BLUEBELLSTILE_CONFIG`;\n" +
	"`deploy/settings.ini.tmpl` makes it from the platform's own settings. `bluebellstiled -site -sample` writes one\n" +
	"with every key, and `-check` checks one. What is refused is the same as in [SETTINGS.md](SETTINGS.md).\n"
