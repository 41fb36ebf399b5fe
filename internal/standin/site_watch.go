package standin

import (
	"fmt"
	"sync"
)

// SiteWatch records the starts and ends of tasks on all runners of a site, and
// detects violations of the scheduler's guarantees: a task that runs in more
// than one place, or starts after its end as done was acknowledged.
type SiteWatch struct {
	mu sync.Mutex
	// running holds the runners of each running task.
	running map[string]map[string]bool
	done    map[string]bool
	// acked holds the tasks whose end as done was acknowledged.
	acked  map[string]bool
	starts int
	// unknownLives counts the late starts in lives that no daemon could know yet.
	unknownLives int
	violations   []string
}

// NewSiteWatch returns a SiteWatch without any records.
func NewSiteWatch() *SiteWatch {
	return &SiteWatch{running: make(map[string]map[string]bool), done: make(map[string]bool), acked: make(map[string]bool)}
}

// recordStart records a start of task on runner.
func (w *SiteWatch) recordStart(runner, task string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.acked[task] {
		w.violations = append(w.violations, fmt.Sprintf("%s starts on %s after its end was acknowledged", task, runner))
	}
	if w.running[task] == nil {
		w.running[task] = make(map[string]bool)
	}
	w.running[task][runner] = true
	if len(w.running[task]) > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%s runs in %d places", task, len(w.running[task])))
	}
}

// recordUnknownLife records a late start in a life that no daemon could know yet, so that
// nothing could refuse it.
func (w *SiteWatch) recordUnknownLife() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unknownLives++
}

// UnknownLives returns how many late starts no daemon could refuse.
func (w *SiteWatch) UnknownLives() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unknownLives
}

// recordEnd records the end of task on runner. The state is "lost" if a crash of
// the runner ended it, of which the scheduler gets no report.
func (w *SiteWatch) recordEnd(runner, task, state string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running[task], runner)
	if state == "done" {
		w.done[task] = true
	}
}

// recordAck records that the end of task was acknowledged, if its state is
// "done". Until then a crash of the runner may lose the end, and the task has to
// run again.
func (w *SiteWatch) recordAck(task, state string) {
	if w == nil || state != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked[task] = true
}

// Summary returns the number of starts, the number of tasks that are done, and a
// description of each violation.
func (w *SiteWatch) Summary() (starts, done int, violations []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts, len(w.done), append([]string(nil), w.violations...)
}

// Done reports whether task has ended as done.
func (w *SiteWatch) Done(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}
