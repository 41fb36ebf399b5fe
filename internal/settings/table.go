package settings

import (
	"log/slog"
	"time"
)

// cell describes the settings of a daemon of a cell with its own log and list.
var cell = Schema[Settings]{
	program:   "bluebellstiled",
	command:   "bluebellstile settings sample",
	source:    "internal/settings/table.go",
	intro:     cellIntro,
	conflicts: conflicts,
	keys: []Key[Settings]{
		required(name("instance", "id", "Name of this instance as the platform's list gives it.",
			func(s *Settings) *string { return &s.Instance.ID }), "entry-1"),
		required(name("instance", "zone", "Availability zone of this instance; the configuration must have it.",
			func(s *Settings) *string { return &s.Instance.Zone }), "quimper-1"),
		required(name("instance", "region", "Region of the availability zone.",
			func(s *Settings) *string { return &s.Instance.Region }), "cornouaille"),

		address("listen", "api", "127.0.0.1:7400", "Address of the callers' HTTP interface.",
			func(s *Settings) *string { return &s.Listen.API }),
		peerAddress(address("listen", "peer", "127.0.0.1:7401", "Address that other daemons connect to. It is published, so it must be one that they can reach.",
			func(s *Settings) *string { return &s.Listen.Peer })),
		address("listen", "admin", "127.0.0.1:7402", "Address of metrics, health pages and the administration interface.",
			func(s *Settings) *string { return &s.Listen.Admin }),

		required(link("platform", "log_url", "Base URL of the platform's log.",
			func(s *Settings) *string { return &s.Platform.LogURL }), "http://192.0.2.10:8100"),
		required(link("platform", "list_url", "Base URL of the platform's list of instances.",
			func(s *Settings) *string { return &s.Platform.ListURL }), "http://192.0.2.10:8101"),
		duration("platform", "append_timeout", 2*time.Second, 10*time.Millisecond, time.Minute,
			"Longest wait for the answer to an append, after which its outcome is looked up in the log.",
			func(s *Settings) *time.Duration { return &s.Platform.AppendTimeout }),
		duration("platform", "read_wait", 500*time.Millisecond, 10*time.Millisecond, 30*time.Second,
			"How long a read at the end of the log waits for a new record. Must be shorter than freshness.key_bound.",
			func(s *Settings) *time.Duration { return &s.Platform.ReadWait }),

		duration("zone", "lease", 30*time.Second, 100*time.Millisecond, 10*time.Minute,
			"How long endpoints run tasks without a heartbeat. Longer survives longer pauses of the holder; shorter frees the tasks of a lost zone sooner.",
			func(s *Settings) *time.Duration { return &s.Zone.Lease }),
		duration("zone", "heartbeat", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second,
			"Interval at which the holder looks for silent endpoints and sends them a heartbeat; polls for events renew the lease otherwise. Must be at most a third of zone.lease and half of zone.takeover_after.",
			func(s *Settings) *time.Duration { return &s.Zone.Heartbeat }),
		duration("zone", "takeover_after", 1500*time.Millisecond, 50*time.Millisecond, time.Minute,
			"How long the holder of a zone goes unheard before another daemon claims it.",
			func(s *Settings) *time.Duration { return &s.Zone.TakeoverAfter }),

		reloadable(count("limits", "max_waiting", "requests", 2500, 1, 1_000_000,
			"Most requests that wait in this daemon over all queues; more are refused as not run.",
			func(s *Settings) *int { return &s.Limits.MaxWaiting })),
		count("limits", "max_body_bytes", "bytes", 1<<20, 1<<10, 64<<20,
			"Largest body of a request.",
			func(s *Settings) *int { return &s.Limits.MaxBodyBytes }),
		count("limits", "max_header_bytes", "bytes", 16<<10, 4<<10, 1<<20,
			"Largest header of a request.",
			func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
		duration("limits", "request_timeout", 10*time.Minute, 100*time.Millisecond, 24*time.Hour,
			"Longest a request stays open, whatever its deadline.",
			func(s *Settings) *time.Duration { return &s.Limits.RequestTimeout }),
		duration("limits", "drain_timeout", 30*time.Second, 100*time.Millisecond, time.Hour,
			"Longest a planned stop waits for requests in flight.",
			func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout }),

		duration("freshness", "key_bound", 4*time.Second, 100*time.Millisecond, 5*time.Second,
			"How long keyed work is accepted without proof that the configuration is fresh. A withdrawn key works for at most that long.",
			func(s *Settings) *time.Duration { return &s.Freshness.KeyBound }),

		reloadable(level("log", "level", "info", "Least level that is logged.",
			func(s *Settings) *slog.Level { return &s.Log.Level })),
		choice("log", "format", []string{string(LogText), string(LogJSON)}, "Form of log lines.",
			func(s *Settings) *LogFormat { return &s.Log.Format }),

		path("tls", "cert", "Certificate chain, PEM, shown to other daemons. Files are read again when they change. Leave cert, key and ca empty to turn TLS between daemons off.",
			func(s *Settings) *string { return &s.TLS.Cert }),
		path("tls", "key", "Private key of the certificate, PEM.",
			func(s *Settings) *string { return &s.TLS.Key }),
		path("tls", "ca", "Certificates, PEM, of the authority that other daemons' certificates must come from.",
			func(s *Settings) *string { return &s.TLS.CA }),

		duration("report", "period", time.Minute, time.Second, time.Hour,
			"Period of the service-level summaries that are recorded in the log.",
			func(s *Settings) *time.Duration { return &s.Report.Period }),
	}}
