// Package settings reads the settings of a daemon from an INI file. Settings
// configures a daemon of a cell with its own log and list of instances, Site a
// daemon on the platform. A cell is the set of availability zones under one
// log and one configuration, with the daemons, endpoints and jobs in them.
//
// Each kind of file has a Schema, a table that gives every key its type,
// default, range and description. The parser, the sample file and the
// reference page are generated from it.
package settings

import (
	"log/slog"
	"time"
)

// Settings holds the settings that a daemon of a cell with its own log and list
// of instances reads at startup.
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

// Instance identifies the instance and its location.
type Instance struct {
	ID string
	// Zone is the availability zone of the instance.
	Zone   string
	Region string
}

// Listen holds the listen addresses, each an IP address and a port.
type Listen struct {
	// API is the address of the HTTP interface for callers.
	API string
	// Peer is the address that other daemons connect to.
	Peer string
	// Admin serves metrics, health and the administration interface.
	Admin string
}

// Platform holds the URLs of the log and the list of instances, and the
// timeouts for using them.
type Platform struct {
	LogURL  string
	ListURL string
	// AppendTimeout bounds one attempt of a call to the log or to the list of
	// instances, not only of an append. The wait of a read is added to it.
	AppendTimeout time.Duration
	// ReadWait is how long a read at the end of the log waits for a new record.
	ReadWait time.Duration
}

// Zone holds the intervals and timeouts of a zone's holder, the daemon that
// schedules the zone's work.
type Zone struct {
	// Lease is how long an endpoint runs its tasks without a heartbeat or a
	// poll from the holder.
	Lease time.Duration
	// Heartbeat is the interval at which the holder looks for silent endpoints
	// and sends them a heartbeat.
	Heartbeat time.Duration
	// TakeoverAfter is the time without a heartbeat or renewal of the holder
	// after which another daemon claims the zone.
	TakeoverAfter time.Duration
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxWaiting     int
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConnections bounds the connections of callers and UnfinishedMB what
	// their unfinished requests hold together.
	MaxConnections int
	UnfinishedMB   int
	// AnswerTimeout is how long a caller may leave a part of its answer unread.
	AnswerTimeout  time.Duration
	RequestTimeout time.Duration
	DrainTimeout   time.Duration
}

// Freshness bounds how old the configuration may be.
type Freshness struct {
	// KeyBound is how long work with a key is accepted without proof that no
	// key has been withdrawn, unless the queue has a longer KeyGrace.
	KeyBound time.Duration
}

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log holds the log level and the format of log lines.
type Log struct {
	Level  slog.Level
	Format LogFormat
}

// TLS holds the paths of the files for mutual TLS between daemons. All three
// are empty when TLS is off.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether daemons use TLS with each other.
func (t TLS) Enabled() bool {
	return t.Cert != "" && t.Key != "" && t.CA != ""
}

// Report holds the period at which summaries for the report are recorded.
type Report struct {
	Period time.Duration
}

// Default returns the default settings. Keys without a default are empty.
func Default() *Settings { return cellSchema.defaults() }

// Table returns every key in the order of the sample file.
func Table() []Key[Settings] { return append([]Key[Settings](nil), cellSchema.keys...) }

// Check returns an Errors that lists every invalid value of s or, if there is
// none, every conflict between keys. It returns nil if s is valid. Parse and
// Load check what they read; Check is for settings that a program has built.
func Check(s *Settings) error { return cellSchema.check(s) }

// Sample returns a settings file with every key, its description and its
// default.
func Sample() string { return cellSchema.sample() }

// Document returns the reference page of the settings, in Markdown.
func Document() string { return cellSchema.document() }

// Parse reads settings from data; name is the name of the file in error
// messages. Its error is an Errors that lists every error found.
func Parse(data []byte, name string) (*Settings, error) { return cellSchema.parse(data, name) }

// Load reads the settings file at path and checks that the files it names can
// be read. Its errors are of type Errors.
func Load(path string) (*Settings, error) {
	s, err := cellSchema.load(path)
	if err != nil {
		return nil, err
	}
	if err := checkFiles(s, path); err != nil {
		return nil, err
	}
	return s, nil
}

// cellIntro is the introduction of the reference page.
const cellIntro = "The daemon reads one INI file, named by `-config`. `bluebellstile settings sample` writes one with every\n" +
	"key and `bluebellstile settings check FILE` checks one. Unknown sections and keys, bad units, values out of\n" +
	"range, keys that appear twice and listen addresses that overlap are refused, each with file, line and remedy.\n" +
	"The file ends with the line `[end]`, without which it counts as truncated. Reloadable keys take effect when the\n" +
	"daemon reads its file again; the others need a restart.\n"
