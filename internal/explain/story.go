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

// maxLineBytes bounds a line of a log file.
const maxLineBytes = 1 << 20

// stages orders the messages of a run, and those of a job, by what causes what.
// A line of a later stage can't come before one of an earlier stage, whatever
// the clocks of the daemons say.
var stages = map[string]int{
	"request refused at the door":              0,
	"request refused as malformed":             0,
	"job taken in":                             1,
	"occurrence is due later":                  2,
	"question about eligible endpoints failed": 2,
	"eligible endpoints known":                 2,
	"run placed":                               3,
	"start not sent":                           4,
	"start refused":                            4,
	"start not answered":                       4,
	"run started":                              4,
	"a confirmed run is not listed any more":   5,
	"stopping run":                             5,
	"stopping a run that is not wanted":        5,
	"run counted as ended, the endpoint's lease has lapsed": 5,
	"run ended":     6,
	"job cancelled": 7,
	"job ended":     8,
}

// runStages are the stages that concern one run.
const (
	firstRunStage = 3
	lastRunStage  = 6
)

// event is a line of the story.
type event struct {
	Line
	stage int
	// run names the run that the line concerns, empty if none.
	run string
	// at is the time of the line, or that of its latest cause if the line
	// claims to be earlier.
	at time.Time
}

// Timeline is what the logs tell of a job.
type Timeline struct {
	Job    string
	events []event
	// around are lines that explain holes and delays: changes of the holder,
	// lost lines, lost dependencies.
	around  []Line
	skipped int
	lines   int
}

// New returns the empty story of a job.
func New(job string) *Timeline { return &Timeline{Job: job} }

// aroundMessages are lines without a job that may explain what happened to it.
var aroundMessages = map[string]bool{
	"term runs":                             true,
	"term ended":                            true,
	"term did not begin":                    true,
	"cell handed over":                      true,
	"taking the cell over":                  true,
	"starting":                              true,
	"stopped":                               true,
	"endpoint is back as a new incarnation": true,
	"endpoint left the registry":            true,
	"endpoint drains":                       true,
	"endpoint rests, its last runs have all failed":                true,
	"append not done yet, it is repeated":                          true,
	"the log takes nothing here, asking others to take over":       true,
	"the configuration can't be read, the last one stays in force": true,
	"configuration in force":                                       true,
	"the registry of endpoints can't be read":                      true,
	"term ends, its append failed":                                 true,
	"term ends, an endpoint has seen a higher epoch":               true,
	logging.GapMessage:                                             true,
	logging.LeftOutMessage:                                         true,
	logging.SampleMessage:                                          true,
}

// Read takes in the lines of a log file.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		s.lines++
		l, err := ParseLine(scanner.Text())
		if err != nil {
			s.skipped++
			continue
		}
		s.take(l)
	}
	return errors.Wrap(scanner.Err(), "read the log; a line may be longer than a megabyte")
}

func (s *Timeline) take(l Line) {
	job, _, _ := strings.Cut(l.Get(logging.TaskKey), ".")
	if job == "" {
		job = l.Get(logging.JobKey)
	}
	if job == s.Job || strings.HasSuffix(l.Get("path"), "/"+s.Job) {
		s.events = append(s.events, newEvent(l))
		return
	}
	if job == "" && aroundMessages[l.Message] {
		s.around = append(s.around, l)
	}
}

func newEvent(l Line) event {
	e := event{Line: l, at: l.Time}
	switch stage, ok := stages[l.Message]; {
	case ok:
		e.stage = stage
	case l.Message == "request served" || l.Message == "request not served":
		// The answer to a submission follows from the job's being stored.
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

// order sorts the events by cause: by time, but no line comes before an
// earlier stage of the same run, nor a run's line before the job's taking in.
func (s *Timeline) order() {
	sort.SliceStable(s.events, func(i, k int) bool {
		if a, b := s.events[i].stage, s.events[k].stage; a != b {
			return a < b
		}
		return s.events[i].Time.Before(s.events[k].Time)
	})
	latest := make(map[string]time.Time)
	var taken time.Time
	for i := range s.events {
		e := &s.events[i]
		if e.Message == "job taken in" && (taken.IsZero() || e.at.Before(taken)) {
			taken = e.at
		}
		if e.stage > 1 && e.at.Before(taken) {
			e.at = taken
		}
		if e.run == "" {
			continue
		}
		if before := latest[e.run]; e.at.Before(before) {
			e.at = before
		}
		latest[e.run] = e.at
	}
	sort.SliceStable(s.events, func(i, k int) bool { return s.events[i].at.Before(s.events[k].at) })
}

// Empty reports whether no line concerns the job.
func (s *Timeline) Empty() bool { return len(s.events) == 0 }

// Write prints the story with the gaps in it.
func (s *Timeline) Write(w io.Writer) error {
	s.order()
	out := bufio.NewWriter(w)
	if s.Empty() {
		_, _ = fmt.Fprintf(out, "No line of %d concerns job %s.\n", s.lines, s.Job)
	} else {
		begin := s.events[0].at
		end := s.events[len(s.events)-1].at
		_, _ = fmt.Fprintf(out, "Job %s, %s to %s\n\n", s.Job, begin.Format(time.RFC3339Nano), end.Format(time.RFC3339Nano))
		for _, l := range s.merged(begin, end) {
			_, _ = fmt.Fprintln(out, l)
		}
	}
	if gaps := s.gaps(); len(gaps) > 0 {
		_, _ = fmt.Fprintln(out, "\nGaps, which nothing here fills:")
		for _, gap := range gaps {
			_, _ = fmt.Fprintln(out, "- "+gap)
		}
	}
	return errors.Wrap(out.Flush(), "write the story")
}

const (
	// aroundBefore and aroundAfter are how far from the job's own lines others
	// are shown: a change of the holder takes about that long.
	aroundBefore = 2 * time.Second
	aroundAfter  = 2 * time.Second
)

// merged returns the printed lines of the job and of what went on around it.
func (s *Timeline) merged(begin, end time.Time) []string {
	type printed struct {
		at   time.Time
		text string
	}
	var all []printed
	for _, e := range s.events {
		note := ""
		if e.at.After(e.Time) {
			note = fmt.Sprintf("  (its clock says %s earlier)", e.at.Sub(e.Time))
		}
		all = append(all, printed{at: e.at, text: format(begin, e.at, " ", &e.Line) + note})
	}
	for i := range s.around {
		l := &s.around[i]
		if l.Time.Before(begin.Add(-aroundBefore)) || l.Time.After(end.Add(aroundAfter)) || !s.concerned(l) {
			continue
		}
		all = append(all, printed{at: l.Time, text: format(begin, l.Time, "|", l)})
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].at.Before(all[k].at) })
	lines := make([]string, len(all))
	for i := range all {
		lines[i] = all[i].text
	}
	return lines
}

// concerned reports whether a line about an endpoint is about one of the job's.
func (s *Timeline) concerned(l *Line) bool {
	endpoint := l.Get("endpoint")
	if endpoint == "" {
		return true
	}
	for i := range s.events {
		if s.events[i].Get("endpoint") == endpoint {
			return true
		}
	}
	return false
}

// format prints a line as its distance from the begin, the daemon, the message
// and the fields.
func format(begin, at time.Time, mark string, l *Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+9.3fs %s %-22s %s", at.Sub(begin).Seconds(), mark, l.Get("daemon"), l.Message)
	for _, f := range l.Fields {
		if f.Name != "daemon" && f.Name != logging.JobKey {
			fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}

// gaps names what the lines leave open.
func (s *Timeline) gaps() []string {
	var gaps []string
	seen := make(map[string]map[int]bool)
	taken, answered, ended := false, false, false
	for i := range s.events {
		e := &s.events[i]
		taken = taken || e.Message == "job taken in"
		answered = answered || strings.HasPrefix(e.Message, "request ")
		ended = ended || e.Message == "job ended"
		if e.run != "" {
			if seen[e.run] == nil {
				seen[e.run] = make(map[int]bool)
			}
			seen[e.run][e.stage] = true
		}
	}
	if !s.Empty() && !taken && len(seen) > 0 {
		gaps = append(gaps, "no line says that the job was taken in: the lines of an earlier holder are missing")
	}
	if taken && !answered {
		gaps = append(gaps, "no line says what the caller was told: the lines of the daemon that took the request are missing, or the process ended before its answer")
	}
	for _, run := range sortedNames(seen) {
		stages := seen[run]
		switch {
		case !stages[firstRunStage]:
			gaps = append(gaps, run+": no line says why it was placed: it may be of an earlier holder")
		case !stages[lastRunStage]:
			gaps = append(gaps, run+": no line says how it ended: it runs yet, or the holder was lost before it was told")
		}
	}
	if taken && !ended {
		gaps = append(gaps, "no line says that the job has ended")
	}
	for i := range s.around {
		switch l := &s.around[i]; l.Message {
		case logging.GapMessage:
			gaps = append(gaps, fmt.Sprintf("%s dropped %s lines at %s, as its reader was too slow", l.Get("daemon"), l.Get("lines"), l.Time.Format(time.RFC3339Nano)))
		case logging.SampleMessage:
			gaps = append(gaps, fmt.Sprintf("%s kept the lines of one in %s new jobs from %s on", l.Get("daemon"), l.Get("one_in"), l.Time.Format(time.RFC3339Nano)))
		}
	}
	if s.skipped > 0 {
		gaps = append(gaps, fmt.Sprintf("%d of %d lines could not be read as log lines", s.skipped, s.lines))
	}
	return gaps
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
