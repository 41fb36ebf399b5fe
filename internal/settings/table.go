package settings

import (
	"log/slog"
	"time"
)

// cellSchema describes the settings of a daemon of a cell with its own log and
// list of instances.
var cellSchema = Schema[Settings]{
	program:   "bluebellstiled",
	command:   "bluebellstile settings sample",
	source:    "internal/settings/table.go",
	intro:     cellIntro,
	conflicts: findConflicts,
	keys: []Key[Settings]{
		required(nameKey("instance", "id", "Name of this instance, as in the platform's list of instances.",
			func(s *Settings) *string { return &s.Instance.ID }), "entry-1"),
		required(nameKey("instance", "zone", "Availability zone of this instance; it must be in the configuration.",
			func(s *Settings) *string { return &s.Instance.Zone }), "quimper-1"),
		required(nameKey("instance", "region", "Region of the availability zone.",
			func(s *Settings) *string { return &s.Instance.Region }), "cornouaille"),

		addressKey("listen", "api", "127.0.0.1:7400", "Address of the HTTP interface for callers.",
			func(s *Settings) *string { return &s.Listen.API }),
		rejectUnspecified(addressKey("listen", "peer", "127.0.0.1:7401", "Address that other daemons connect to. It is published, so it must be one that they can reach.",
			func(s *Settings) *string { return &s.Listen.Peer })),
		addressKey("listen", "admin", "127.0.0.1:7402", "Address of metrics, health pages and the administration interface.",
			func(s *Settings) *string { return &s.Listen.Admin }),

		required(urlKey("platform", "log_url", "Base URL of the platform's log.",
			func(s *Settings) *string { return &s.Platform.LogURL }), "http://192.0.2.10:8100"),
		required(urlKey("platform", "list_url", "Base URL of the platform's list of instances.",
			func(s *Settings) *string { return &s.Platform.ListURL }), "http://192.0.2.10:8101"),
		durationKey("platform", "append_timeout", 2*time.Second, 10*time.Millisecond, time.Minute,
			"How long one attempt of a call to the log or to the list of instances may take, on top of the wait of a read. The outcome of an append that takes longer is looked up in the log.",
			func(s *Settings) *time.Duration { return &s.Platform.AppendTimeout }),
		durationKey("platform", "read_wait", 500*time.Millisecond, 10*time.Millisecond, 30*time.Second,
			"How long a read at the end of the log waits for a new record. Must be shorter than freshness.key_bound.",
			func(s *Settings) *time.Duration { return &s.Platform.ReadWait }),

		durationKey("zone", "lease", 30*time.Second, 100*time.Millisecond, 10*time.Minute,
			"How long endpoints run tasks without a heartbeat or a poll from the holder. A longer lease survives longer pauses of the holder; a shorter one frees the tasks of a lost zone sooner.",
			func(s *Settings) *time.Duration { return &s.Zone.Lease }),
		durationKey("zone", "heartbeat", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second,
			"Interval at which the holder looks for silent endpoints and sends them a heartbeat; for other endpoints, polls for events renew the lease. Must be at most a third of zone.lease and half of zone.takeover_after.",
			func(s *Settings) *time.Duration { return &s.Zone.Heartbeat }),
		durationKey("zone", "takeover_after", 1500*time.Millisecond, 50*time.Millisecond, time.Minute,
			"How long the holder of a zone must be silent before another daemon claims the zone.",
			func(s *Settings) *time.Duration { return &s.Zone.TakeoverAfter }),

		reloadable(countKey("limits", "max_waiting", "requests", 2500, 1, 1_000_000,
			"Largest number of requests in flight in this daemon and, while it is the holder, of requests that wait in its zone, each over all queues; requests beyond it are refused.",
			func(s *Settings) *int { return &s.Limits.MaxWaiting })),
		countKey("limits", "max_body_bytes", "bytes", 1<<20, 1<<10, 64<<20,
			"Largest body of a request.",
			func(s *Settings) *int { return &s.Limits.MaxBodyBytes }),
		countKey("limits", "max_header_bytes", "bytes", 16<<10, 4<<10, 1<<20,
			"Largest header of a request.",
			func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
		countKey("limits", "max_connections", "connections", 10_000, 16, 1<<20,
			"Connections of callers. If there are more, idle ones are closed, then unfinished ones.",
			func(s *Settings) *int { return &s.Limits.MaxConnections }),
		countKey("limits", "unfinished_mb", "megabytes", 256, 1, 1<<20,
			"What callers' unfinished requests may hold together, at least twice max_body_bytes. Beyond it, the longest unfinished are refused.",
			func(s *Settings) *int { return &s.Limits.UnfinishedMB }),
		durationKey("limits", "answer_timeout", 30*time.Second, 100*time.Millisecond, time.Hour,
			"How long a caller may leave a part of its answer unread.",
			func(s *Settings) *time.Duration { return &s.Limits.AnswerTimeout }),
		durationKey("limits", "request_timeout", 10*time.Minute, 100*time.Millisecond, 24*time.Hour,
			"Upper limit of the deadlines that callers set. It is the deadline of requests for which neither the caller nor the queue sets one.",
			func(s *Settings) *time.Duration { return &s.Limits.RequestTimeout }),
		durationKey("limits", "drain_timeout", 30*time.Second, 100*time.Millisecond, time.Hour,
			"How long a planned stop may take to hand the zone over and finish the requests in flight.",
			func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout }),

		durationKey("freshness", "key_bound", 4*time.Second, 100*time.Millisecond, 5*time.Second,
			"How long work with a key is accepted without proof that the configuration is fresh. A withdrawn key works for at most that long, or for the key_grace of a queue if that is longer.",
			func(s *Settings) *time.Duration { return &s.Freshness.KeyBound }),

		reloadable(levelKey("log", "level", "info", "Lowest level that is logged.",
			func(s *Settings) *slog.Level { return &s.Log.Level })),
		choiceKey("log", "format", []string{string(LogText), string(LogJSON)}, "Format of log lines.",
			func(s *Settings) *LogFormat { return &s.Log.Format }),

		pathKey("tls", "cert", "Certificate chain, in PEM, that is presented to other daemons. Files are read again when they change. Leave cert, key and ca empty to turn off TLS between daemons.",
			func(s *Settings) *string { return &s.TLS.Cert }),
		pathKey("tls", "key", "Private key of the certificate, in PEM.",
			func(s *Settings) *string { return &s.TLS.Key }),
		pathKey("tls", "ca", "Certificates, in PEM, of the authority that must have signed other daemons' certificates.",
			func(s *Settings) *string { return &s.TLS.CA }),

		durationKey("report", "period", time.Minute, time.Second, time.Hour,
			"Interval at which service-level summaries are recorded in the log.",
			func(s *Settings) *time.Duration { return &s.Report.Period }),
	}}
