// Package metrics publishes the daemon's counters and gauges through expvar.
// Every metric is declared here with its help text, so that tests can compare
// the operators' documentation with the code.
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

var descriptions = []Description{{Name: poolMetric, Help: "connections and commands to endpoints: open, in use, failures"}}

// counter declares an integer metric, which is a counter or a gauge.
func counter(name, help string) *expvar.Int {
	descriptions = append(descriptions, Description{Name: name, Help: help})
	return expvar.NewInt(name)
}

// counterMap declares an integer metric with one value per label.
func counterMap(name, help string) *expvar.Map {
	descriptions = append(descriptions, Description{Name: name, Help: help})
	return expvar.NewMap(name)
}

// Metrics of the daemon.
var (
	Requests       = counterMap("requests_total", "requests answered, by verdict")
	Refusals       = counterMap("refusals_total", "refusals and failures, by problem code")
	Waiting        = counter("requests_waiting", "requests that wait in this zone's queues")
	TasksStarted   = counter("tasks_started_total", "tasks started on endpoints by this holder")
	TasksFinished  = counterMap("tasks_finished_total", "tasks that ended on endpoints, by state")
	DroppedEvents  = counter("events_dropped_total", "endpoint events for unknown tasks or ended epochs")
	FencedCommands = counter("fenced_total", "commands refused because a higher epoch had attached")
	Claims         = counterMap("claims_total", "zone claims by result: won, lost, unknown; and probes of a silent holder: probed")
	HolderEpoch    = counter("holder_epoch", "epoch under which this daemon holds its zone; 0 if it does not")
	Appends        = counterMap("log_appends_total", "log records appended by this daemon, by kind")
	AppendBytes    = counter("log_append_bytes_total", "bytes of the records appended by this daemon")
	VoidRecords    = counterMap("log_void_records_total", "void log records, by kind")
	TailBytes      = counterMap("log_tail_bytes_total", "bytes of log records read, by source: log or peer")
	Applied        = counter("log_applied_offset", "offset of the last log record applied")
	FreshAgeMS     = counter("config_fresh_age_ms", "milliseconds since the configuration was last proven current")
	ConfigVersion  = counter("config_version", "version of the configuration in force here")
	PeerBytes      = counterMap("peer_bytes_total", "bytes exchanged with other daemons, by link: zone, region, remote, unlisted")
	PeerFailures   = counter("peer_failures_total", "calls to other daemons that failed")
	Transfers      = counterMap("allotment_transfers_total", "transfers of upper-limit allotment, by result")
	Endpoints      = counterMap("endpoints", "endpoints of the held zone, by state: attaching, usable, silent, leaving")
	ListFailures   = counter("list_failures_total", "reads of the platform's list that failed; the last list stays in use")
	Decisions      = counter("placement_decisions_total", "placement decisions taken")
	DecisionNS     = counter("placement_ns_total", "nanoseconds spent in placement")
	ReportBytes    = counter("report_summary_bytes", "bytes of the last service-level summary made here")
	ReportDropped  = counter("report_summaries_dropped_total", "service-level summaries that never became valid in the log")
	ReportAlerts   = counterMap("report_alerts", "active service-level alerts, by kind: fast, slow, lost")
	ReportBurn     = counterMap("report_burn_1h_milli", "highest burn rate of the last hour in thousandths, by indicator")
)

// Metrics of a daemon on the platform.
var (
	PlatformCalls        = counterMap("platform_calls_total", "calls of the platform, by operation and result")
	PlatformConnections  = counterMap("platform_connections_total", "connections made to the platform, by purpose")
	PlatformBytes        = counterMap("platform_bytes_total", "bytes exchanged with the platform, by purpose and direction")
	Jobs                 = counterMap("jobs_total", "requests for jobs answered here, by operation and verdict")
	JobRefusals          = counterMap("job_refusals_total", "requests for jobs refused here or left open, by problem code")
	Members              = counter("members", "daemons of the cell, this one included")
	MembersRemoved       = counter("members_removed_total", "members that this daemon removed, as holder, because it heard nothing from them")
	OpenJobs             = counter("jobs_open", "jobs of the held cell that are not done; 0 if this daemon does not hold it")
	TasksWaiting         = counter("tasks_waiting", "tasks of the held cell that wait for an endpoint")
	TasksRunning         = counter("tasks_running", "tasks of the held cell that run or may run")
	Starts               = counter("starts_total", "orders to start a task that this daemon gave")
	StartsRefused        = counter("starts_refused_total", "orders to start a task that an endpoint refused")
	StartsUnanswered     = counter("starts_unanswered_total", "orders to start a task without an answer")
	RunsLapsed           = counter("runs_lapsed_total", "runs counted as ended because their endpoint's lease had expired")
	RunsEvicted          = counter("runs_evicted_total", "runs stopped because their endpoint left or they made no progress")
	PaceOrders           = counter("pace_orders_total", "orders that set the pace of a filling task, which uses only capacity left over by others")
	EndpointReports      = counter("endpoint_reports_total", "orders that renew an endpoint's lease and ask for its running tasks")
	EligibilityQuestions = counter("eligibility_questions_total", "questions about eligible endpoints")
	PlacementWait        = histogram("placement_wait_ms", "time from when a task is ready to its placement, in queues of priority 0")
	PlacementWaitOther   = histogram("placement_wait_other_ms", "time from when a task is ready to its placement, in all other queues")
	SubmitTime           = histogram("submit_ms", "time to answer a submission here")
	AppendTime           = histogram("append_ms", "time of an append to the log, including retries")
	OrderQueueTime       = histogram("order_queue_ms", "time from the decision on an order to an endpoint until it was sent")
	OrderConnectTime     = histogram("order_connect_ms", "time that an order to an endpoint waited for a connection")
	OrderTime            = histogram("order_ms", "time from the sending of an order to an endpoint to its result, including the wait for a connection; reports may wait for a run to end")
	HolderLag            = histogram("holder_lag_ms", "delay with which the holder's periodic timer ran, as a sign of missing processor time")
	ProofAgeMS           = counter("term_proof_age_ms", "milliseconds since the held term was last proven current; 0 if none is held")
	PlanTime             = histogram("plan_ms", "time to plan which tasks start next")
	OddEntries           = counterMap("odd_entries_total", "entries of other writers that were left out, by list: registry, configuration, evacuation; each reading of one counts")
	StepsYielding        = counter("steps_yielding", "steps that wait because gangs of a better priority need the room, at the holder's last plan")
	Preemptions          = counterMap("preemptions_total", "runs stopped for more urgent work, by the queue of that work")
	PreemptionLoss       = counterMap("preemption_loss_core_ms_total", "processor time that stops for more urgent work have thrown away or kept idle, in thousandths of a core-second, by the queue of the stopped run")
	CustomersOverShare   = counter("customers_over_share", "customers that use more than their shares of the endpoints while these are contended, at the holder")
	JobsRefusedUseless   = counterMap("jobs_refused_useless_total", "jobs refused because they could not end in a time that is of use, by queue")
	AdmissionErrors      = counterMap("admission_errors_total", "jobs refused that could have been served, and jobs accepted that ended too late to be of use")
	RunTimesLearned      = counterMap("run_times_learned_total", "runs from which the holder learned how long tasks take, by queue")
	ZonesEvacuated       = counter("zones_evacuated", "availability zones that the operator empties and where nothing is started; 0 if this daemon does not hold the cell")
	RunsInEvacuated      = counter("runs_in_evacuated_zones", "tasks of the held cell that run or may run in availability zones that the operator empties")
	StartsWithdrawn      = counterMap("starts_withdrawn_total", "starts that were planned and not sent, by cause: evacuation")
	ProcessorMS          = counter("processor_ms_total", "milliseconds of processor time used by the daemon")
	IntakeGivenUp        = counterMap("intake_given_up_total", "clients' connections and requests given up, by cause: bytes, connections, answers, work, late, broken")
	IntakeBytes          = counter("intake_bytes", "bytes charged to clients' requests that are not complete, those of headers sixteenfold")
	IntakeConnections    = counter("intake_connections", "open connections of clients")
	LogLinesDropped      = counter("log_lines_dropped_total", "log lines dropped because their reader was too slow")
)

// Platform holds the counters of the client for the platform's log and list.
var Platform = counterMap("platform", "calls of the platform's log and list: appends, reads, retries, circuit breakers and bytes")

// poolMetric is the metric of the connections to endpoints.
const poolMetric = "endpoint_pool"

// PublishPool publishes the counters of the connections to endpoints. All
// daemons of a process share them, so that later calls have no effect.
func PublishPool(pool *expvar.Map) {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(poolMetric) == nil {
		expvar.Publish(poolMetric, pool)
	}
}

// publishMu serializes daemons that start concurrently in one process.
var publishMu sync.Mutex

// Descriptions returns all metrics sorted by name.
func Descriptions() []Description {
	out := append([]Description(nil), descriptions...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
