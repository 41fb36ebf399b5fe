package standin

import (
	"fmt"
	"sync"
)

// SiteWatch sees the starts and ends of tasks on all runners of a site, and
// notes what breaks a promise.
type SiteWatch struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	done    map[string]bool
	// noted are the tasks whose end as done was acknowledged.
	noted  map[string]bool
	starts int
	broken []string
}

// NewSiteWatch returns a watch that has seen nothing.
func NewSiteWatch() *SiteWatch {
	return &SiteWatch{running: make(map[string]map[string]bool), done: make(map[string]bool), noted: make(map[string]bool)}
}

// started notes a start.
func (w *SiteWatch) started(runner, task string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.noted[task] {
		w.broken = append(w.broken, fmt.Sprintf("%s starts on %s after its end was acknowledged", task, runner))
	}
	if w.running[task] == nil {
		w.running[task] = make(map[string]bool)
	}
	w.running[task][runner] = true
	if len(w.running[task]) > 1 {
		w.broken = append(w.broken, fmt.Sprintf("%s runs in %d places", task, len(w.running[task])))
	}
}

// ended notes an end; lost runs end without one being told.
func (w *SiteWatch) ended(runner, task, how string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running[task], runner)
	if how == "done" {
		w.done[task] = true
	}
}

// acknowledged notes that an end was taken note of. Until then a crash of the
// runner may lose it, and the task has to run again.
func (w *SiteWatch) acknowledged(task, how string) {
	if w == nil || how != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted[task] = true
}

// Seen returns how many starts there were, how many tasks are done, and what
// broke a promise.
func (w *SiteWatch) Seen() (starts, done int, broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts, len(w.done), append([]string(nil), w.broken...)
}

// Done reports whether a task has ended as done.
func (w *SiteWatch) Done(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}
