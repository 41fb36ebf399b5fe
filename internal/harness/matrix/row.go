// Package matrix brings every fault about at every step of the life of a
// request, judges the run by the promises and reports one row a cell. Only
// tests import it.
package matrix

import (
	"fmt"
	"io"
	"strings"
)

// Fault is what strikes.
type Fault string

// Faults.
const (
	// None is the run without a fault, which every promise must pass too.
	None              Fault = "none"
	Kill              Fault = "kill"
	PauseFault        Fault = "pause"
	CutZones          Fault = "cut zone from zone"
	CutPlatform       Fault = "cut zone from platform"
	CutOneWay         Fault = "one-way cut"
	LogDown           Fault = "log down"
	LogSlow           Fault = "log slow"
	AnswerLost        Fault = "answer lost"
	ListWrong         Fault = "list lagging or wrong"
	WorkerDeath       Fault = "worker death"
	WorkerPause       Fault = "worker pause"
	WorkerFails       Fault = "worker fails everything"
	OperatorsRacing   Fault = "operators racing"
	CancellationWave  Fault = "cancellation wave"
	AllTogether       Fault = "all together"
	TwiceInSuccession Fault = "twice"
)

// Faults lists every fault in the order of the report.
var Faults = []Fault{
	None, Kill, PauseFault, CutZones, CutPlatform, CutOneWay, LogDown, LogSlow, AnswerLost, ListWrong,
	WorkerDeath, WorkerPause, WorkerFails, OperatorsRacing, CancellationWave, AllTogether, TwiceInSuccession,
}

// Step is how far a request, or the daemon that holds it, has come when the
// fault strikes.
type Step string

// Steps.
const (
	Admitted     Step = "admitted"
	Queued       Step = "queued"
	Reserved     Step = "reserved"
	Sent         Step = "sent"
	Started      Step = "started"
	Answering    Step = "answering"
	Acknowledged Step = "acknowledged"
	Draining     Step = "draining"
	HandingOver  Step = "handing over"
	Transferring Step = "transferring allotment"
	Publishing   Step = "publishing"
)

// Steps lists every step in the order of the report.
var Steps = []Step{
	Admitted, Queued, Reserved, Sent, Started, Answering, Acknowledged,
	Draining, HandingOver, Transferring, Publishing,
}

// Verdict is the outcome of one row.
type Verdict string

// Verdicts. NotRun covers cells that weren't run, whose step wasn't reached,
// and promises for which the run had nothing to check.
const (
	Passed Verdict = "passed"
	Failed Verdict = "failed"
	NotRun Verdict = "not run"
)

// Row is the verdict on one promise in one cell.
type Row struct {
	Fault   Fault   `json:"fault"`
	Step    Step    `json:"step"`
	Promise string  `json:"promise"`
	Verdict Verdict `json:"verdict"`
	Test    string  `json:"test"`
	Seed    int64   `json:"seed"`
	// Commit is the version of the code that the cell ran on.
	Commit string `json:"commit,omitempty"`
	// Detail says why a row failed or wasn't run.
	Detail string `json:"detail,omitempty"`
}

// fileName is a name for files about a cell.
func fileName(r Row) string {
	return strings.ReplaceAll(fmt.Sprintf("%s--%s", r.Fault, r.Step), " ", "-")
}

func (r Row) String() string {
	return fmt.Sprintf("%-24s %-22s %-18s %s", r.Fault, r.Step, r.Promise, r.Verdict)
}

// Print writes the rows and the count line.
func Print(w io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("fault matrix:\n")
	for _, r := range rows {
		fmt.Fprintln(&b, r)
	}
	passed, failed, notRun := Count(rows)
	if notRun > 0 {
		fmt.Fprintf(&b, "%d not run\n", notRun)
	}
	fmt.Fprintf(&b, "%d passed, %d failed\n", passed, failed)
	_, err := io.WriteString(w, b.String())
	return err
}

// Count counts the rows by verdict.
func Count(rows []Row) (passed, failed, notRun int) {
	for _, r := range rows {
		switch r.Verdict {
		case Passed:
			passed++
		case Failed:
			failed++
		default:
			notRun++
		}
	}
	return passed, failed, notRun
}
