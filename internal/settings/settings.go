// Package settings reads the settings of a daemon from an INI file. One table
// of keys gives each its type, default, range and description; the reader,
// the sample file and the reference page all come from it.
package settings

import (
	"log/slog"
	"time"
)

// Settings is everything that a daemon learns at its start.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Zone      Zone
	Limits    Limits
	Freshness Freshness
	Log       Log
	TLS       TLS
	Report    Report
}

// Instance says which instance this is and where.
type Instance struct {
	ID string
	// Zone is the availability zone of the instance.
	Zone   string
	Region string
}

// Listen gives the addresses, each an IP number and a port.
type Listen struct {
	// API is the callers' HTTP address.
	API string
	// Peer is the address that other daemons connect to.
	Peer string
	// Admin serves metrics, health and the administration interface.
	Admin string
}

// Platform says how to reach the platform.
type Platform struct {
	LogURL        string
	ListURL       string
	AppendTimeout time.Duration
	// ReadWait is how long a read of the log waits for a new record.
	ReadWait time.Duration
}

// Zone holds the timing of a zone's holder.
type Zone struct {
	// Lease is how long an endpoint runs its tasks without a heartbeat.
	Lease     time.Duration
	Heartbeat time.Duration
	// TakeoverAfter is how long another daemon misses the holder before it
	// claims the zone.
	TakeoverAfter time.Duration
}

// Limits bounds what callers may ask of the daemon.
type Limits struct {
	MaxWaiting     int
	MaxBodyBytes   int
	MaxHeaderBytes int
	RequestTimeout time.Duration
	DrainTimeout   time.Duration
}

// Freshness bounds how old the configuration may be.
type Freshness struct {
	// KeyBound is how long keyed work is accepted without proof that no key
	// has been withdrawn.
	KeyBound time.Duration
}

// LogFormat is the form of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log says what is logged and how.
type Log struct {
	Level  slog.Level
	Format LogFormat
}

// TLS names the files for mutual TLS between daemons; all three are empty
// when it is off.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether daemons speak TLS with each other.
func (t TLS) Enabled() bool {
	return t.Cert != "" && t.Key != "" && t.CA != ""
}

// Report sets how often summaries for the report are recorded.
type Report struct {
	Period time.Duration
}

// Default returns the defaults; keys without one are empty.
func Default() *Settings { return cell.defaults() }

// Table returns every key in the order of the sample file.
func Table() []Key[Settings] { return append([]Key[Settings](nil), cell.keys...) }

// Check reports every value of s that its key refuses and every conflict
// between keys, as Errors. Parse and Load check by themselves; Check is for
// settings that a program has made.
func Check(s *Settings) error { return cell.check(s) }

// Sample returns a settings file with every key, its description and its
// default.
func Sample() string { return cell.sample() }

// Document returns the reference page of the settings, in Markdown.
func Document() string { return cell.document() }

// Parse reads settings; name stands for the file in messages. Every fault is
// reported, as Errors.
func Parse(data []byte, name string) (*Settings, error) { return cell.parse(data, name) }

// Load reads the settings file at path and the files that it names. Its
// errors are of type Errors.
func Load(path string) (*Settings, error) {
	s, err := cell.load(path)
	if err != nil {
		return nil, err
	}
	if err := checkFiles(s, path); err != nil {
		return nil, err
	}
	return s, nil
}

// cellIntro begins the reference page of the settings.
const cellIntro = "The daemon reads one INI file, named by `-config`. `bluebellstile settings sample` writes one with every\n" +
	"key and `bluebellstile settings check FILE` checks one. Unknown sections and keys, bad units, values out of\n" +
	"range, keys that stand twice and listen addresses that overlap are refused, each with file, line and remedy.\n" +
	"The file ends with the line `[end]`, without which it counts as cut off. Reloadable keys take effect when the\n" +
	"daemon reads its file again; the others need a restart.\n"
