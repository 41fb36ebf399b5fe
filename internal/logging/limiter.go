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
	// in lines a second and lines at once: what an engineer can still read.
	kindRate  = 20.0
	kindBurst = 60.0
	// jobLines bounds the lines a second that concern jobs: about 300 KB.
	jobLines = 1500
	// rememberedJobs is for how many jobs the choice whether their lines are
	// kept is remembered, twice; about 5 MB at most.
	rememberedJobs = 20000
	// window is the span over which lines are counted.
	window = time.Second
	// sampleSteps is how often the share of kept jobs can be halved.
	sampleSteps = 10
)

// Attributes by which a line belongs to a job. A task is named by its job's
// id, a dot, and its place in the job.
const (
	JobKey  = "job"
	TaskKey = "task"
)

// Messages of the handler's own lines.
const (
	SuppressedMessage  = "lines of a kind left out"
	SampleShareMessage = "share of jobs whose lines are kept has changed"
)

// Limiter is a handler that bounds what is logged a second. Lines without a job
// are bounded by kind, which is their message. Lines of jobs are kept or left
// out by job, so that a job's story is whole or absent: at too many lines a
// second, the share of new jobs that are kept is halved. The choice goes by a
// hash of the id, so that all daemons choose alike.
type Limiter struct {
	next  slog.Handler
	state *limits
}

// limits is shared by a handler and those made from it.
type limits struct {
	level slog.Leveler
	now   func() time.Time

	mu    sync.Mutex
	kinds map[string]*kind
	// began is when the present window began, lines counts the lines of jobs
	// in it, and halved is how often the share of kept jobs is halved.
	began  time.Time
	lines  int
	halved int
	// chosen and before remember the choice for recent jobs.
	chosen map[string]bool
	before map[string]bool
}

// kind is a bucket of one kind of line.
type kind struct {
	level float64
	at    time.Time
	// out counts the lines left out since the last line that says so, at noted.
	out   int
	noted time.Time
}

// NewLimiter returns a handler before next.
func NewLimiter(next slog.Handler, level slog.Leveler, now func() time.Time) *Limiter {
	return &Limiter{next: next, state: &limits{
		level:  level,
		now:    now,
		kinds:  make(map[string]*kind),
		began:  now(),
		chosen: make(map[string]bool),
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
	keep, notes := l.state.judge(r)
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

// judge decides on a line and returns the handler's own lines before it.
func (s *limits) judge(r slog.Record) (keep bool, notes []slog.Record) {
	job := jobOf(r)
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if job == "" {
		return s.judgeKind(now, r.Message)
	}
	notes = s.turn(now)
	if !s.keeps(job) {
		return false, notes
	}
	s.lines++
	return true, notes
}

// judgeKind takes a line from the bucket of its kind.
func (s *limits) judgeKind(now time.Time, message string) (bool, []slog.Record) {
	k := s.kinds[message]
	if k == nil {
		k = &kind{level: kindBurst, at: now}
		s.kinds[message] = k
	}
	k.level = min(kindBurst, k.level+kindRate*now.Sub(k.at).Seconds())
	k.at = now
	if k.level < 1 {
		k.out++
		return false, nil
	}
	k.level--
	if k.out == 0 || now.Sub(k.noted) < window {
		return true, nil
	}
	k.noted = now
	note := slog.NewRecord(now, slog.LevelWarn, SuppressedMessage, 0)
	note.AddAttrs(slog.String("kind", message), slog.Int("lines", k.out))
	k.out = 0
	return true, []slog.Record{note}
}

// turn begins a new window when the last is over, and sets the share of jobs
// that are kept by how many lines the last one had.
func (s *limits) turn(now time.Time) []slog.Record {
	if now.Sub(s.began) < window {
		return nil
	}
	halved := s.halved
	switch {
	case s.lines > jobLines:
		halved = min(halved+1, sampleSteps)
	case s.lines < jobLines/4:
		halved = max(halved-1, 0)
	}
	s.began, s.lines = now, 0
	if halved == s.halved {
		return nil
	}
	s.halved = halved
	note := slog.NewRecord(now, slog.LevelWarn, SampleShareMessage, 0)
	note.AddAttrs(slog.Int("one_in", 1<<halved))
	return []slog.Record{note}
}

// keeps returns the choice for a job and makes it at its first line.
func (s *limits) keeps(job string) bool {
	if kept, ok := s.chosen[job]; ok {
		return kept
	}
	kept, ok := s.before[job]
	if !ok {
		kept = xxhash.Sum64String(job)&(1<<s.halved-1) == 0
	}
	if len(s.chosen) >= rememberedJobs {
		s.before, s.chosen = s.chosen, make(map[string]bool)
	}
	s.chosen[job] = kept
	return kept
}

// jobOf returns the id of the job that a line concerns, empty if none.
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
