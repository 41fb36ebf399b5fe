package logging

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// kindRate and kindBurst bound the lines of one kind that concern no job,
	// in lines per second and lines at once, to what an engineer can still
	// read.
	kindRate  = 20.0
	kindBurst = 60.0
	// maxJobLines is the number of lines per second that concern jobs, about
	// 300 KB, above which the share of kept jobs is halved.
	maxJobLines = 1500
	// maxRememberedJobs bounds each of the two generations of remembered
	// decisions, which take about 5 MB at most.
	maxRememberedJobs = 20000
	// window is the interval over which lines are counted.
	window = time.Second
	// maxHalvings bounds how often the share of kept jobs is halved.
	maxHalvings = 10
)

// Attributes that assign a line to a job. A task id consists of its job's id, a
// dot, and its position in the job.
const (
	JobKey  = "job"
	TaskKey = "task"
)

// UnknownJobKey is the attribute of a line about an id that no job has. Such lines are
// limited by kind: callers choose the ids, and could have as many lines as they like.
const UnknownJobKey = "unknown_job"

// Messages of the lines that the Limiter itself logs.
const (
	SuppressedMessage  = "lines of a kind left out"
	SampleShareMessage = "share of jobs whose lines are kept has changed"
)

// Limiter is a slog.Handler that bounds the lines logged per second. Lines
// without a job are limited by kind, which is their message. Lines of jobs are
// sampled by job, so that the lines of a job are either all kept or all left
// out: after each window with more than maxJobLines of them, the share of new
// jobs that are kept is halved, and after one with less than a quarter of that
// it is doubled again. The decision depends on a hash of the job's id, so that
// all daemons decide alike.
type Limiter struct {
	next  slog.Handler
	state *limiterState
}

// limiterState is the state shared by a Limiter and the handlers derived from
// it by WithAttrs and WithGroup.
type limiterState struct {
	level slog.Leveler
	now   func() time.Time

	mu    sync.Mutex
	kinds map[string]*kindBucket
	// windowStart is the start of the current window, and jobLines the number
	// of lines of jobs in it. One in 2^halvings new jobs is kept.
	windowStart time.Time
	jobLines    int
	halvings    int
	// decisions and olderDecisions hold whether the lines of recent jobs are
	// kept. When decisions is full, it replaces olderDecisions.
	decisions      map[string]bool
	olderDecisions map[string]bool
}

// kindBucket is the token bucket of one kind of line.
type kindBucket struct {
	tokens     float64
	refilledAt time.Time
	// suppressed counts the lines left out since the last SuppressedMessage, which
	// was logged at reportedAt.
	suppressed int
	reportedAt time.Time
}

// NewLimiter returns a Limiter that passes the kept lines on to next.
func NewLimiter(next slog.Handler, level slog.Leveler, now func() time.Time) *Limiter {
	return &Limiter{next: next, state: &limiterState{
		level:       level,
		now:         now,
		kinds:       make(map[string]*kindBucket),
		windowStart: now(),
		decisions:   make(map[string]bool),
	}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(_ context.Context, level slog.Level) bool {
	return level >= l.state.level.Level()
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{next: l.next.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{next: l.next.WithGroup(name), state: l.state}
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	keep, notes := l.state.decide(r)
	for _, note := range notes {
		if err := l.next.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !keep {
		return nil
	}
	return l.next.Handle(ctx, r)
}

// decide reports whether to keep a line and returns the notes to log before it.
func (s *limiterState) decide(r slog.Record) (keep bool, notes []slog.Record) {
	job := jobOf(r)
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if job == "" {
		return s.decideByKind(now, r.Message)
	}
	notes = s.rotateWindow(now)
	if !s.keepJob(job) {
		return false, notes
	}
	s.jobLines++
	return true, notes
}

// decideByKind takes a token from the bucket of the line's kind and reports
// whether there was one.
func (s *limiterState) decideByKind(now time.Time, message string) (bool, []slog.Record) {
	k := s.kinds[message]
	if k == nil {
		k = &kindBucket{tokens: kindBurst, refilledAt: now}
		s.kinds[message] = k
	}
	k.tokens = min(kindBurst, k.tokens+kindRate*now.Sub(k.refilledAt).Seconds())
	k.refilledAt = now
	if k.tokens < 1 {
		k.suppressed++
		return false, nil
	}
	k.tokens--
	if k.suppressed == 0 || now.Sub(k.reportedAt) < window {
		return true, nil
	}
	k.reportedAt = now
	note := slog.NewRecord(now, slog.LevelWarn, SuppressedMessage, 0)
	note.AddAttrs(slog.String("kind", message), slog.Int("lines", k.suppressed))
	k.suppressed = 0
	return true, []slog.Record{note}
}

// rotateWindow starts a new window if the current one is over and adjusts the
// share of kept jobs to the number of lines in it. It returns a note if the share
// has changed.
func (s *limiterState) rotateWindow(now time.Time) []slog.Record {
	if now.Sub(s.windowStart) < window {
		return nil
	}
	halvings := s.halvings
	switch {
	case s.jobLines > maxJobLines:
		halvings = min(halvings+1, maxHalvings)
	case s.jobLines < maxJobLines/4:
		halvings = max(halvings-1, 0)
	}
	s.windowStart, s.jobLines = now, 0
	if halvings == s.halvings {
		return nil
	}
	s.halvings = halvings
	note := slog.NewRecord(now, slog.LevelWarn, SampleShareMessage, 0)
	note.AddAttrs(slog.Int("one_in", 1<<halvings))
	return []slog.Record{note}
}

// keepJob returns the decision for a job, which is made at the job's first line.
func (s *limiterState) keepJob(job string) bool {
	if kept, ok := s.decisions[job]; ok {
		return kept
	}
	kept, ok := s.olderDecisions[job]
	if !ok {
		kept = xxhash.Sum64String(job)&(1<<s.halvings-1) == 0
	}
	if len(s.decisions) >= maxRememberedJobs {
		s.olderDecisions, s.decisions = s.decisions, make(map[string]bool)
	}
	s.decisions[job] = kept
	return kept
}

// jobOf returns the id of the job that a line concerns, empty if there is
// none.
func jobOf(r slog.Record) string {
	job := ""
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case JobKey:
			job = a.Value.String()
		case TaskKey:
			job, _, _ = strings.Cut(a.Value.String(), ".")
		default:
			return true
		}
		return false
	})
	return job
}
