// Package matrix tests every combination of a fault and a step in the life of a
// request. For each combination, called a cell of the matrix, it runs a
// harness.Cell under load, injects the fault at the step, checks the recorded
// history against the promises of package history and reports one row per
// promise. Only tests import it.
package matrix

import (
	"fmt"
	"io"
	"strings"
)

// Fault names the fault that is injected. The values appear in docs/FAULTS.md.
type Fault string

// Faults.
const (
	// None is a run without a fault, in which every promise must hold too.
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

// Faults lists all faults in the order of the report.
var Faults = []Fault{
	None, Kill, PauseFault, CutZones, CutPlatform, CutOneWay, LogDown, LogSlow, AnswerLost, ListWrong,
	WorkerDeath, WorkerPause, WorkerFails, OperatorsRacing, CancellationWave, AllTogether, TwiceInSuccession,
}

// Step names the state that a request, or the daemon that is responsible for it,
// has reached when the fault is injected. The values appear in docs/FAULTS.md.
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

// Steps lists all steps in the order of the report.
var Steps = []Step{
	Admitted, Queued, Reserved, Sent, Started, Answering, Acknowledged,
	Draining, HandingOver, Transferring, Publishing,
}

// Verdict is the result of one row.
type Verdict string

// Verdicts. NotRun covers cells that weren't run, cells whose step wasn't
// reached, and promises for which the history contains nothing to check.
const (
	Passed Verdict = "passed"
	Failed Verdict = "failed"
	NotRun Verdict = "not run"
)

// Row is the verdict on one promise in one cell of the matrix. A Row without
// Promise and Verdict identifies a cell.
type Row struct {
	Fault   Fault   `json:"fault"`
	Step    Step    `json:"step"`
	Promise string  `json:"promise"`
	Verdict Verdict `json:"verdict"`
	Test    string  `json:"test"`
	Seed    int64   `json:"seed"`
	// Commit is the version of the code under test.
	Commit string `json:"commit,omitempty"`
	// Detail is the reason why a row failed or wasn't run.
	Detail string `json:"detail,omitempty"`
}

// fileName returns a file name without spaces for a cell. It is also the name of
// the subtest.
func fileName(r Row) string {
	return strings.ReplaceAll(fmt.Sprintf("%s--%s", r.Fault, r.Step), " ", "-")
}

func (r Row) String() string {
	return fmt.Sprintf("%-24s %-22s %-18s %s", r.Fault, r.Step, r.Promise, r.Verdict)
}

// Print writes one line per row, followed by the number of rows per verdict.
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

// Count returns the number of rows per verdict.
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
