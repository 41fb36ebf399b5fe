// Package metrics publishes the daemon's counters and gauges by expvar. Every
// metric is declared here with its meaning, so that the operators' page can
// be tested against the code.
package metrics

import (
	"expvar"
	"sort"
	"sync"
)

// Description documents one metric.
type Description struct {
	Name string
	Help string
}

var descriptions = []Description{{Name: poolName, Help: "connections and commands to endpoints: open, in use, failures"}}

// counter declares an integer metric.
func counter(name, help string) *expvar.Int {
	descriptions = append(descriptions, Description{Name: name, Help: help})
	return expvar.NewInt(name)
}

// group declares a metric that is split by a label.
func group(name, help string) *expvar.Map {
	descriptions = append(descriptions, Description{Name: name, Help: help})
	return expvar.NewMap(name)
}

// Metrics of the daemon.
var (
	Requests       = group("requests_total", "requests answered, by verdict")
	Refusals       = group("refusals_total", "refusals and failures, by problem code")
	Waiting        = counter("requests_waiting", "requests that wait in this zone's queues")
	TasksStarted   = counter("tasks_started_total", "tasks started on endpoints by this holder")
	TasksFinished  = group("tasks_finished_total", "tasks that ended on endpoints, by state")
	DroppedEvents  = counter("events_dropped_total", "endpoint events for unknown tasks or ended epochs")
	FencedCommands = counter("fenced_total", "commands refused because a higher epoch had attached")
	Claims         = group("claims_total", "zone claims by result: won, lost, unknown; and probes of a silent holder: probed")
	HolderEpoch    = counter("holder_epoch", "epoch under which this daemon holds its zone; 0 if it does not")
	Appends        = group("log_appends_total", "log records appended by this daemon, by kind")
	AppendBytes    = counter("log_append_bytes_total", "bytes of the records appended by this daemon")
	VoidRecords    = group("log_void_records_total", "log records that count for nothing, by kind")
	TailBytes      = group("log_tail_bytes_total", "bytes of log records read, by source: log or peer")
	Applied        = counter("log_applied_offset", "offset of the last log record applied")
	FreshAgeMS     = counter("config_fresh_age_ms", "milliseconds since the configuration was last proven current")
	ConfigVersion  = counter("config_version", "version of the configuration in force here")
	PeerBytes      = group("peer_bytes_total", "bytes exchanged with other daemons, by link: zone, region, remote, unlisted")
	PeerFailures   = counter("peer_failures_total", "calls to other daemons that failed")
	Transfers      = group("allotment_transfers_total", "transfers of upper-limit allotment, by result")
	Endpoints      = group("endpoints", "endpoints of the held zone, by state: attaching, usable, silent, leaving")
	ListFailures   = counter("list_failures_total", "reads of the platform's list that failed; the last list stays in use")
	Decisions      = counter("placement_decisions_total", "placement decisions taken")
	DecisionNS     = counter("placement_ns_total", "nanoseconds spent in placement")
	ReportBytes    = counter("report_summary_bytes", "bytes of the last service-level summary made here")
	ReportDropped  = counter("report_summaries_dropped_total", "service-level summaries that never counted in the log")
	ReportAlerts   = group("report_alerts", "service-level alerts that are on, by kind: fast, slow, lost")
	ReportBurn     = group("report_burn_1h_milli", "highest burn rate of the last hour in thousandths, by indicator")
)

// Metrics of a daemon on the platform.
var (
	PlatformCalls        = group("platform_calls_total", "calls of the platform, by operation and result")
	PlatformConnections  = group("platform_connections_total", "connections made to the platform, by purpose")
	PlatformBytes        = group("platform_bytes_total", "bytes exchanged with the platform, by purpose and direction")
	Jobs                 = group("jobs_total", "requests for jobs answered here, by operation and verdict")
	JobRefusals          = group("job_refusals_total", "requests for jobs refused here or left open, by problem code")
	OpenJobs             = counter("jobs_open", "jobs of the held cell that are not done; 0 if this daemon does not hold it")
	TasksWaiting         = counter("tasks_waiting", "tasks of the held cell that wait for an endpoint")
	TasksRunning         = counter("tasks_running", "tasks of the held cell that run or may run")
	Starts               = counter("starts_total", "orders to start a task that this daemon gave")
	StartsRefused        = counter("starts_refused_total", "orders to start a task that an endpoint refused")
	StartsUnanswered     = counter("starts_unanswered_total", "orders to start a task without an answer")
	RunsLapsed           = counter("runs_lapsed_total", "runs counted as ended as their endpoint's lease had lapsed")
	RunsEvicted          = counter("runs_evicted_total", "runs stopped as their endpoint left or as they made no progress")
	PaceOrders           = counter("pace_orders_total", "orders that set the pace of a filling task")
	EndpointReports      = counter("endpoint_reports_total", "orders to endpoints that renew their lease and ask what runs")
	EligibilityQuestions = counter("eligibility_questions_total", "questions about eligible endpoints")
	PlacementWait        = histogram("placement_wait_ms", "time from a task's turn to its place, of urgent queues")
	PlacementWaitOther   = histogram("placement_wait_other_ms", "time from a task's turn to its place, of all other queues")
	SubmitTime           = histogram("submit_ms", "time to answer a submission here")
	AppendTime           = histogram("append_ms", "time that an append to the log took, with its repetitions")
	OrderQueueTime       = histogram("order_queue_ms", "time from the decision on an order to an endpoint until it was sent")
	OrderConnectTime     = histogram("order_connect_ms", "time that an order to an endpoint waited for a connection")
	OrderTime            = histogram("order_ms", "time from the sending of an order to an endpoint to its result, with the wait for a connection; reports wait for an end")
	HolderLag            = histogram("holder_lag_ms", "time by which the holder got its processor later than due")
	ProofAgeMS           = counter("term_proof_age_ms", "milliseconds since the held term was last proven current; 0 if none is held")
	PlanTime             = histogram("plan_ms", "time that a plan of what starts next took")
	ProcessorMS          = counter("processor_ms_total", "milliseconds of processor time that the daemon has used")
	LogLinesDropped      = counter("log_lines_dropped_total", "log lines dropped as their reader was too slow")
)

// Platform holds the counters of the client of the log and the list.
var Platform = group("platform", "calls of the platform's log and list: appends, reads, retries, breakers and bytes")

// poolName is the metric of the connections to endpoints.
const poolName = "endpoint_pool"

// PublishPool publishes the counters of the connections to endpoints, which
// all daemons of a process share.
func PublishPool(pool *expvar.Map) {
	publishing.Lock()
	defer publishing.Unlock()
	if expvar.Get(poolName) == nil {
		expvar.Publish(poolName, pool)
	}
}

// publishing makes daemons that start together in one process take turns.
var publishing sync.Mutex

// Descriptions lists all metrics in order of name.
func Descriptions() []Description {
	out := append([]Description(nil), descriptions...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
