package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/logging"
	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a line in a log file.
const maxLineBytes = 1 << 20

// stages orders the messages of a run, and those of a job, by cause and effect.
// A line of a later stage can't precede one of an earlier stage, even if the
// daemons' clocks differ.
var stages = map[string]int{
	"request refused at the door":                            0,
	"request refused as malformed":                           0,
	"clients given up":                                       0,
	"job refused, it could not end in a time that is of use": 0,
	"job taken in":                                           1,
	"occurrence is due later":                                2,
	"question about eligible endpoints failed":               2,
	"eligible endpoints known":                               2,
	"step waits for gangs of a better priority":              2,
	"registered endpoints have changed for a step":           2,
	"run placed":     3,
	"start not sent": 4,
	"start withdrawn, an availability zone is being emptied": 4,
	"start refused":                          4,
	"start not answered":                     4,
	"run started":                            4,
	"a confirmed run is not listed any more": 5,
	"stopping run":                           5,
	"stopping a run that is not wanted":      5,
	"run counted as ended, the endpoint's lease has lapsed": 5,
	"run preempted":                   5,
	"run ended":                       6,
	"job cancelled":                   7,
	"job ended":                       8,
	"job ended too late to be of use": 9,
}

// Range of the stages that concern one run.
const (
	firstRunStage = 3
	lastRunStage  = 6
)

// event is a line about the job.
type event struct {
	Line
	stage int
	// run names the run that the line concerns. It is empty if the line concerns
	// no single run.
	run string
	// causalTime is the time of the line, or that of its latest cause if the
	// line has an earlier time because of a clock difference.
	causalTime time.Time
}

// Timeline holds the log lines that concern a job.
type Timeline struct {
	Job    string
	events []event
	// related holds lines that may explain gaps and delays: changes of the
	// holder (the daemon that schedules the jobs), dropped log lines,
	// unavailable dependencies.
	related []Line
	// unreadable counts the lines that could not be parsed, lines all lines.
	unreadable int
	lines      int
}

// New returns the empty timeline of a job.
func New(job string) *Timeline { return &Timeline{Job: job} }

// relatedMessages are the messages of lines that name no job but may explain what
// happened to it.
var relatedMessages = map[string]bool{
	"term runs":                             true,
	"work waits for room":                   true,
	"term ended":                            true,
	"term did not begin":                    true,
	"cell handed over":                      true,
	"taking the cell over":                  true,
	"starting":                              true,
	"stopped":                               true,
	"endpoint is back as a new incarnation": true,
	"endpoint left the registry":            true,
	"endpoint drains":                       true,
	"endpoint rests, its last runs have all failed":                    true,
	"append not done yet, it is repeated":                              true,
	"the log takes nothing here, asking others to take over":           true,
	"the configuration can't be read, the last one stays in force":     true,
	"configuration in force":                                           true,
	"customer has gone over its share or back":                         true,
	"weight of a customer is out of range":                             true,
	"the registry of endpoints can't be read":                          true,
	"term ends, its append failed":                                     true,
	"term ends, an endpoint has seen a higher epoch":                   true,
	"endpoint says whether it is cold":                                 true,
	"availability zone is being emptied, nothing new is started there": true,
	"availability zone is used again":                                  true,
	logging.GapMessage:                                                 true,
	logging.SuppressedMessage:                                          true,
	logging.SampleShareMessage:                                         true,
}

// Read adds the lines of a log file. It skips and counts lines that can't be
// parsed.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.lines++
		l, err := ParseLine(scanner.Text())
		if err != nil {
			t.unreadable++
			continue
		}
		t.add(l)
	}
	return errors.Wrap(scanner.Err(), "read the log; a line may be longer than a megabyte")
}

// add adds a line if it concerns the job or is one of relatedMessages.
func (t *Timeline) add(l Line) {
	job, _, _ := strings.Cut(l.Get(logging.TaskKey), ".")
	if job == "" {
		job = l.Get(logging.JobKey)
	}
	if job == t.Job || l.Get(logging.UnknownJobKey) == t.Job || strings.HasSuffix(l.Get("path"), "/"+t.Job) {
		t.events = append(t.events, newEvent(l))
		return
	}
	if job == "" && relatedMessages[l.Message] {
		t.related = append(t.related, l)
	}
}

// newEvent returns the event of a line about the job, with its stage and run.
func newEvent(l Line) event {
	e := event{Line: l, causalTime: l.Time}
	switch stage, ok := stages[l.Message]; {
	case ok:
		e.stage = stage
	case l.Message == "request served" || l.Message == "request not served":
		// A submission is answered after the job has been stored.
		e.stage = 1
		if l.Get("operation") != "submit" {
			e.stage = 0
		}
	}
	if e.stage >= firstRunStage && e.stage <= lastRunStage {
		e.run = l.Get(logging.TaskKey) + " run " + l.Get("run")
	}
	return e
}

// sortByCause sorts the events by time, except that no line comes before one of
// an earlier stage of the same run, and no line of a stage after the job's
// acceptance before that.
func (t *Timeline) sortByCause() {
	sort.SliceStable(t.events, func(i, k int) bool {
		if a, b := t.events[i].stage, t.events[k].stage; a != b {
			return a < b
		}
		return t.events[i].Time.Before(t.events[k].Time)
	})
	latest := make(map[string]time.Time)
	var accepted time.Time
	for i := range t.events {
		e := &t.events[i]
		if e.Message == "job taken in" && (accepted.IsZero() || e.causalTime.Before(accepted)) {
			accepted = e.causalTime
		}
		if e.stage > 1 && e.causalTime.Before(accepted) {
			e.causalTime = accepted
		}
		if e.run == "" {
			continue
		}
		if before := latest[e.run]; e.causalTime.Before(before) {
			e.causalTime = before
		}
		latest[e.run] = e.causalTime
	}
	sort.SliceStable(t.events, func(i, k int) bool { return t.events[i].causalTime.Before(t.events[k].causalTime) })
}

// Empty reports whether no line concerns the job.
func (t *Timeline) Empty() bool { return len(t.events) == 0 }

// Write prints the timeline, followed by the gaps that the lines leave.
func (t *Timeline) Write(w io.Writer) error {
	t.sortByCause()
	out := bufio.NewWriter(w)
	if t.Empty() {
		_, _ = fmt.Fprintf(out, "No line of %d concerns job %s.\n", t.lines, t.Job)
	} else {
		begin := t.events[0].causalTime
		end := t.events[len(t.events)-1].causalTime
		_, _ = fmt.Fprintf(out, "Job %s, %s to %s\n\n", t.Job, begin.Format(time.RFC3339Nano), end.Format(time.RFC3339Nano))
		for _, l := range t.mergedLines(begin, end) {
			_, _ = fmt.Fprintln(out, l)
		}
	}
	if gaps := t.gaps(); len(gaps) > 0 {
		_, _ = fmt.Fprintln(out, "\nGaps, which the lines read don't explain:")
		for _, gap := range gaps {
			_, _ = fmt.Fprintln(out, "- "+gap)
		}
	}
	return errors.Wrap(out.Flush(), "write the timeline")
}

const (
	// relatedBefore and relatedAfter are how long before the job's first line
	// and after its last one related lines are shown. A change of the holder
	// takes about that long.
	relatedBefore = 2 * time.Second
	relatedAfter  = 2 * time.Second
)

// mergedLines returns the printed form of the job's lines and of the related
// lines, in order.
func (t *Timeline) mergedLines(begin, end time.Time) []string {
	type printed struct {
		at   time.Time
		text string
	}
	var all []printed
	for _, e := range t.events {
		note := ""
		if e.causalTime.After(e.Time) {
			note = fmt.Sprintf("  (its clock says %s earlier)", e.causalTime.Sub(e.Time))
		}
		all = append(all, printed{at: e.causalTime, text: formatLine(begin, e.causalTime, " ", &e.Line) + note})
	}
	for i := range t.related {
		l := &t.related[i]
		if l.Time.Before(begin.Add(-relatedBefore)) || l.Time.After(end.Add(relatedAfter)) || !t.concernsJob(l) {
			continue
		}
		all = append(all, printed{at: l.Time, text: formatLine(begin, l.Time, "|", l)})
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].at.Before(all[k].at) })
	lines := make([]string, len(all))
	for i := range all {
		lines[i] = all[i].text
	}
	return lines
}

// concernsJob reports whether a related line may concern the job: it names no
// endpoint, or one that a line of the job names.
func (t *Timeline) concernsJob(l *Line) bool {
	endpoint := l.Get("endpoint")
	if endpoint == "" {
		return true
	}
	for i := range t.events {
		if t.events[i].Get("endpoint") == endpoint {
			return true
		}
	}
	return false
}

// formatLine prints a line as its time relative to begin, the mark, the daemon,
// the message and the fields.
func formatLine(begin, at time.Time, mark string, l *Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+9.3fs %s %-22s %s", at.Sub(begin).Seconds(), mark, l.Get("daemon"), l.Message)
	for _, f := range l.Fields {
		if f.Name != "daemon" && f.Name != logging.JobKey {
			fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}

// gaps describes what the lines leave unexplained.
func (t *Timeline) gaps() []string {
	var gaps []string
	seen := make(map[string]map[int]bool)
	accepted, answered, ended := false, false, false
	for i := range t.events {
		e := &t.events[i]
		accepted = accepted || e.Message == "job taken in"
		answered = answered || strings.HasPrefix(e.Message, "request ")
		ended = ended || e.Message == "job ended"
		if e.run != "" {
			if seen[e.run] == nil {
				seen[e.run] = make(map[int]bool)
			}
			seen[e.run][e.stage] = true
		}
	}
	if !t.Empty() && !accepted && len(seen) > 0 {
		gaps = append(gaps, "no line says that the job was taken in: the lines of an earlier holder are missing")
	}
	if accepted && !answered {
		gaps = append(gaps, "no line says what the caller was told: the lines of the daemon that took the request are missing, or the process ended before its answer")
	}
	for _, run := range sortedNames(seen) {
		seenStages := seen[run]
		switch {
		case !seenStages[firstRunStage]:
			gaps = append(gaps, run+": no line says why it was placed: an earlier holder may have placed it")
		case !seenStages[lastRunStage]:
			gaps = append(gaps, run+": no line says how it ended: it still runs, or the holder failed before it learned of the end")
		}
	}
	if accepted && !ended {
		gaps = append(gaps, "no line says that the job has ended")
	}
	for i := range t.related {
		switch l := &t.related[i]; l.Message {
		case logging.GapMessage:
			gaps = append(gaps, fmt.Sprintf("%s dropped %s lines at %s because the reader of its log was too slow", l.Get("daemon"), l.Get("lines"), l.Time.Format(time.RFC3339Nano)))
		case logging.SampleShareMessage:
			gaps = append(gaps, fmt.Sprintf("%s logged only the lines of one in %s new jobs from %s on", l.Get("daemon"), l.Get("one_in"), l.Time.Format(time.RFC3339Nano)))
		}
	}
	if t.unreadable > 0 {
		gaps = append(gaps, fmt.Sprintf("%d of %d lines could not be read as log lines", t.unreadable, t.lines))
	}
	return gaps
}

// sortedNames returns the keys of m in order.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
