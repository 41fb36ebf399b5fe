package settings

import (
	"fmt"
	"log/slog"
	"time"
)

// Site holds the settings that a daemon on the platform reads at startup.
type Site struct {
	Instance SiteInstance
	Listen   SiteListen
	Reach    SiteReach
	Limits   SiteLimits
	Bounds   SiteBounds
	// Scheduling turns parts of the scheduling on and off.
	Scheduling SiteScheduling
	Log        Log
}

// SiteInstance identifies the instance and its location.
type SiteInstance struct {
	Name   string
	Zone   string
	Region string
}

// SiteListen holds the listen addresses, each an IP address and a port.
type SiteListen struct {
	// Callers is the address where callers submit jobs.
	Callers string
	// Ready is the address of the readiness check, which answers whether the
	// daemon accepts callers' connections.
	Ready string
	// Peer is the address that other daemons connect to.
	Peer string
	// Admin serves metrics.
	Admin string
}

// SiteReach holds the addresses of the platform's services.
type SiteReach struct {
	// Store is the address of the metadata store.
	Store string
	// Eligibility is the address of the service that knows which endpoints
	// may run a step, a group of identical tasks of a job. It is empty if
	// there is none.
	Eligibility string
}

// SiteLimits holds the memory, the descriptors and the processor time that the
// process may use, and the bounds of what clients may make it hold.
type SiteLimits struct {
	MemoryMB int
	// MaxFDs is the number of descriptors; 0 stands for the process's own limit.
	MaxFDs int
	// MaxConnections bounds the connections of clients and UnfinishedMB what
	// their unfinished requests hold; 0 derives them from memory and descriptors.
	MaxConnections int
	UnfinishedMB   int
	// MaxHeaderBytes bounds a request's header before the configuration's own
	// limit is known.
	MaxHeaderBytes int
	// BodyRate is the lowest rate of a body in bytes per second.
	BodyRate int
	// FramingRate is the highest rate of the framing of a customer's chunked
	// bodies in bytes per second.
	FramingRate int
	// AnswerTimeout is how long a client may leave a part of its answer unread.
	AnswerTimeout time.Duration
	// ProcessorMilli is the processor time that the process may use per
	// second, in milliseconds.
	ProcessorMilli int
	// ProcessorSpeed is the speed of that processor as a multiple of one core.
	ProcessorSpeed int
}

// SiteBounds holds the durations and the run-time factor that the platform's own
// settings prescribe.
type SiteBounds struct {
	// Revoke is how long a withdrawn key may go on working.
	Revoke time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// LeaseMax is the longest lease that endpoints grant.
	LeaseMax time.Duration
	// StopGrace is the longest time that stopping a task takes.
	StopGrace time.Duration
	// GangWait is how long a gang's members wait for each other.
	GangWait time.Duration
	// StateKept is how long the state of an ended job can be queried.
	StateKept time.Duration
	// RateWindow is the window over which a customer's rate of jobs is
	// measured.
	RateWindow time.Duration
	// FarPercent is the run time of a task away from its data or its gang's
	// rack, in percent of its run time there.
	FarPercent int
}

// Switch turns a part of the product on or off.
type Switch string

// Values of a Switch.
const (
	On  Switch = "on"
	Off Switch = "off"
)

// Enabled reports whether the part is on.
func (s Switch) Enabled() bool { return s == On }

// SiteScheduling turns parts of the scheduling on and off. All daemons of a cell are
// set alike, as each of them may hold it.
type SiteScheduling struct {
	// Evacuation keeps new work off the availability zones that the operator empties.
	Evacuation Switch
	// GangRoom lets work that starts task by task wait for gangs of a better priority.
	GangRoom Switch
	// Preemption stops runs of work that can wait for more urgent work.
	Preemption Switch
	// Shares divides contended capacity among customers by their weights.
	Shares Switch
	// Admission refuses jobs that can't end in a time that is of use.
	Admission Switch
	// Estimates corrects the run times that callers state from those seen.
	Estimates Switch
}

const (
	// minBound and maxBound are the range of plausible values for a duration
	// in SiteBounds.
	minBound = 10 * time.Millisecond
	maxBound = 24 * time.Hour
)

// siteSchema describes the settings of a daemon on the platform.
var siteSchema = Schema[Site]{
	program: "bluebellstiled on the platform",
	command: "bluebellstiled -site -sample",
	source:  "internal/settings/site.go",
	intro:   siteIntro,
	keys: []Key[Site]{
		required(nameKey("instance", "name", "Name of this instance, unique in the cell.",
			func(s *Site) *string { return &s.Instance.Name }), "front-quimper-a-1"),
		required(nameKey("instance", "zone", "Availability zone of this instance.",
			func(s *Site) *string { return &s.Instance.Zone }), "quimper-a"),
		required(nameKey("instance", "region", "Region of the availability zone.",
			func(s *Site) *string { return &s.Instance.Region }), "finistere"),

		required(addressKey("listen", "callers", "", "Address where callers submit jobs.",
			func(s *Site) *string { return &s.Listen.Callers }), "192.0.2.1:8183"),
		required(addressKey("listen", "ready", "", "Address where the platform asks whether the daemon is ready.",
			func(s *Site) *string { return &s.Listen.Ready }), "192.0.2.1:8184"),
		required(rejectUnspecified(addressKey("listen", "peer", "", "Address that other daemons connect to. It is published, so it must be one that they can reach.",
			func(s *Site) *string { return &s.Listen.Peer })), "192.0.2.1:7420"),
		required(addressKey("listen", "admin", "", "Address that serves metrics.",
			func(s *Site) *string { return &s.Listen.Admin }), "192.0.2.1:7421"),

		required(addressKey("reach", "store", "", "Address of the platform's metadata store.",
			func(s *Site) *string { return &s.Reach.Store }), "192.0.2.7:8182"),
		addressKey("reach", "eligibility", "", "Address of the service that knows which endpoints may run a step; empty if there is none.",
			func(s *Site) *string { return &s.Reach.Eligibility }),

		countKey("limits", "memory_mb", "megabytes", 256, 32, 1<<20, "Memory that the process may use.",
			func(s *Site) *int { return &s.Limits.MemoryMB }),
		countKey("limits", "max_fds", "descriptors", 0, 0, 1<<24, "Descriptors that the process may have open; 0 for the process's own limit.",
			func(s *Site) *int { return &s.Limits.MaxFDs }),
		countKey("limits", "max_connections", "connections", 0, 0, 1<<20, "Connections of callers. If there are more, one of the customer with most is closed, idle ones first. 0: one for each 128 KB of memory_mb, at most half of max_fds beyond 200.",
			func(s *Site) *int { return &s.Limits.MaxConnections }),
		countKey("limits", "unfinished_mb", "megabytes", 0, 0, 1<<20, "What callers' unfinished requests may hold together. Beyond it, the longest unfinished are refused. 0: a sixteenth of memory_mb.",
			func(s *Site) *int { return &s.Limits.UnfinishedMB }),
		countKey("limits", "max_header_bytes", "bytes", 20<<10, 4<<10, 1<<20, "Header of a request that is read at all; the configuration's own limit is lower.",
			func(s *Site) *int { return &s.Limits.MaxHeaderBytes }),
		countKey("limits", "body_rate", "bytes a second", 8<<10, 1, 1<<30, "Lowest rate of a request's body, after its first three seconds.",
			func(s *Site) *int { return &s.Limits.BodyRate }),
		countKey("limits", "framing_rate", "bytes a second", 1<<20, 1, 1<<30, "Highest rate of the framing of one customer's chunked bodies, which is what they have beside their payload; twice that at once. Beyond it, reading them waits.",
			func(s *Site) *int { return &s.Limits.FramingRate }),
		durationKey("limits", "answer_timeout", 10*time.Second, 100*time.Millisecond, maxBound, "How long a caller may leave a part of its answer unread.",
			func(s *Site) *time.Duration { return &s.Limits.AnswerTimeout }),
		thousandthsKey("limits", "processor_share", "1", "Share of a processor that the process may use.", 1, 1024*thousandthsPerUnit,
			func(s *Site) *int { return &s.Limits.ProcessorMilli }),
		countKey("limits", "processor_speed", "times one core", 1, 1, 1024, "Speed of that processor as a multiple of one core.",
			func(s *Site) *int { return &s.Limits.ProcessorSpeed }),

		durationKey("bounds", "revoke", 5*time.Second, minBound, maxBound, "How long a withdrawn key may go on working.",
			func(s *Site) *time.Duration { return &s.Bounds.Revoke }),
		durationKey("bounds", "grace", 6*time.Second, minBound, maxBound, "How long a planned stop may take before the process is killed.",
			func(s *Site) *time.Duration { return &s.Bounds.Grace }),
		durationKey("bounds", "lease_max", 6*time.Second, minBound, maxBound, "Longest lease that endpoints grant.",
			func(s *Site) *time.Duration { return &s.Bounds.LeaseMax }),
		durationKey("bounds", "stop_grace", time.Second, minBound, maxBound, "Longest time that stopping a task takes.",
			func(s *Site) *time.Duration { return &s.Bounds.StopGrace }),
		durationKey("bounds", "gang_wait", 3*time.Second, minBound, maxBound, "How long a gang's members wait for each other.",
			func(s *Site) *time.Duration { return &s.Bounds.GangWait }),
		durationKey("bounds", "state_kept", 2*time.Minute, minBound, maxBound, "How long the state of an ended job can be queried.",
			func(s *Site) *time.Duration { return &s.Bounds.StateKept }),
		durationKey("bounds", "rate_window", 5*time.Second, minBound, maxBound, "Window over which a customer's rate of jobs is measured.",
			func(s *Site) *time.Duration { return &s.Bounds.RateWindow }),
		factorKey("bounds", "far_factor", "1.5", "Factor by which a task takes longer away from its data or its gang's rack.",
			func(s *Site) *int { return &s.Bounds.FarPercent }),

		switchKey("scheduling", "evacuation", "Starts nothing in availability zones that the operator empties, and takes endpoints that say that they are cold for slow.",
			func(s *Site) *Switch { return &s.Scheduling.Evacuation }),
		switchKey("scheduling", "gang_room", "Lets work that starts task by task wait for gangs of a better priority.",
			func(s *Site) *Switch { return &s.Scheduling.GangRoom }),
		switchKey("scheduling", "preemption", "Stops runs of work that can wait for more urgent work.",
			func(s *Site) *Switch { return &s.Scheduling.Preemption }),
		switchKey("scheduling", "shares", "Divides contended capacity among customers by weight.",
			func(s *Site) *Switch { return &s.Scheduling.Shares }),
		switchKey("scheduling", "admission", "Refuses jobs that can't end in a time that is of use to their callers.",
			func(s *Site) *Switch { return &s.Scheduling.Admission }),
		switchKey("scheduling", "estimates", "Corrects the run times that callers state from those seen.",
			func(s *Site) *Switch { return &s.Scheduling.Estimates }),

		reloadable(levelKey("log", "level", "info", "Lowest level that is logged.",
			func(s *Site) *slog.Level { return &s.Log.Level })),
		choiceKey("log", "format", []string{string(LogText), string(LogJSON)}, "Format of log lines.",
			func(s *Site) *LogFormat { return &s.Log.Format }),
	},
}

// LoadSite reads the settings file of a daemon on the platform at path. Its
// errors are of type Errors.
func LoadSite(path string) (*Site, error) { return siteSchema.load(path) }

// ParseSite reads settings from data; name is the name of the file in error
// messages. Its error is an Errors that lists every error found.
func ParseSite(data []byte, name string) (*Site, error) { return siteSchema.parse(data, name) }

// SampleSite returns a settings file with every key, its description and its
// default.
func SampleSite() string { return siteSchema.sample() }

// DocumentSite returns the reference page of the settings, in Markdown.
func DocumentSite() string { return siteSchema.document() }

// Reload returns a copy of s with the reloadable keys of next, and the full
// names of the other keys that differ, which need a restart of the daemon.
func (s *Site) Reload(next *Site) (*Site, []string) { return siteSchema.reload(s, next) }

// FarFactor returns the factor by which a task takes longer away from its data
// or its gang's rack.
func (b *SiteBounds) FarFactor() float64 { return float64(b.FarPercent) / hundredthsPerUnit }

// Processors returns the processing power that the process may use, in cores.
func (l *SiteLimits) Processors() float64 {
	return float64(l.ProcessorMilli*l.ProcessorSpeed) / thousandthsPerUnit
}

// String returns the name and location of the instance for the log line at
// startup.
func (s *Site) String() string {
	return fmt.Sprintf("%s in %s/%s", s.Instance.Name, s.Instance.Region, s.Instance.Zone)
}

// siteIntro is the introduction of the reference page.
const siteIntro = "On the platform the daemon reads one INI file, named by `-config` or by the variable `BLUEBELLSTILE_CONFIG`;\n" +
	"`deploy/settings.ini.tmpl` generates it from the platform's own settings. `bluebellstiled -site -sample` writes one\n" +
	"with every key, and `-check` checks one. What is refused is the same as in [SETTINGS.md](SETTINGS.md).\n"
