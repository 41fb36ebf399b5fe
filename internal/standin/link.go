package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// linkFaults are the switches that act on requests and answers as a whole.
type linkFaults struct {
	down          *atomic.Bool
	latency       *durationSwitch
	answerLatency *durationSwitch
	loseAnswers   *atomic.Int64
	gate          gate
}

// newLinkFaults registers the switches in f.
func newLinkFaults(f *Faults) *linkFaults {
	l := &linkFaults{
		down:          f.boolean("down", "break off every request without acting on it"),
		latency:       f.duration("latency", "delay every request before acting on it", 0),
		answerLatency: f.duration("answer_latency", "delay every answer after the effect", 0),
		loseAnswers:   f.integer("lose_answers", "break off this many requests after the effect, -1 for all", 0),
	}
	f.add("pause", &fault{
		usage: "do nothing at all until set to false; true or false",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, l.gate.set) },
		get:   func() any { return l.gate.closed() },
		clear: func() { l.gate.set(false) },
	})
	return l
}

// wrap applies the switches to next.
func (l *linkFaults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.gate.wait(r.Context())
		sleep(r.Context(), l.latency.get())
		if l.down.Load() {
			panic(http.ErrAbortHandler)
		}
		answer := &heldAnswer{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(answer, r)
		l.gate.wait(r.Context())
		sleep(r.Context(), l.answerLatency.get())
		if l.down.Load() || l.takeLoss() {
			panic(http.ErrAbortHandler)
		}
		answer.writeTo(w)
	})
}

// takeLoss reports whether the present answer is to be lost.
func (l *linkFaults) takeLoss() bool {
	for {
		n := l.loseAnswers.Load()
		if n <= 0 {
			return n < 0
		}
		if l.loseAnswers.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// heldAnswer keeps an answer until it is known whether it gets lost.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *heldAnswer) Header() http.Header            { return a.header }
func (a *heldAnswer) Write(data []byte) (int, error) { return a.body.Write(data) }
func (a *heldAnswer) WriteHeader(status int)         { a.status = status }

func (a *heldAnswer) writeTo(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// gate blocks those that wait while it is closed. The zero gate is open.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.open == nil:
		g.open = make(chan struct{})
	case !closed && g.open != nil:
		close(g.open)
		g.open = nil
	}
}

// closed reports whether the gate is closed.
func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open != nil
}

// wait returns once the gate is open or ctx is done.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open == nil {
		return
	}
	select {
	case <-open:
	case <-ctx.Done():
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeJSON writes v with a status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
