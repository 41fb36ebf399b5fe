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

// linkFaults holds the fault switches that delay or abort whole requests and
// responses, as a bad network or an overloaded process does.
type linkFaults struct {
	down          *atomic.Bool
	latency       *durationSwitch
	answerLatency *durationSwitch
	loseAnswers   *atomic.Int64
	gate          gate
}

// newLinkFaults returns switches that are registered in f.
func newLinkFaults(f *Faults) *linkFaults {
	l := &linkFaults{
		down:          f.addBool("down", "abort every request without acting on it"),
		latency:       f.addDuration("latency", "delay every request before acting on it", 0),
		answerLatency: f.addDuration("answer_latency", "delay every answer after the effect", 0),
		loseAnswers:   f.addInt("lose_answers", "abort this many requests after their effect; -1 for all", 0),
	}
	f.add("pause", &faultSwitch{
		usage: "do nothing at all until set to false; true or false",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, l.gate.set) },
		get:   func() any { return l.gate.closed() },
		clear: func() { l.gate.set(false) },
	})
	return l
}

// wrap returns a handler that applies the switches to the requests for next.
func (l *linkFaults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.gate.wait(r.Context())
		sleep(r.Context(), l.latency.get())
		if l.down.Load() {
			panic(http.ErrAbortHandler)
		}
		answer := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(answer, r)
		l.gate.wait(r.Context())
		sleep(r.Context(), l.answerLatency.get())
		if l.down.Load() || l.consumeLostAnswer() {
			panic(http.ErrAbortHandler)
		}
		answer.writeTo(w)
	})
}

// consumeLostAnswer reports whether the current response must be dropped, and
// decrements the remaining number if it is positive.
func (l *linkFaults) consumeLostAnswer() bool {
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

// bufferedResponse holds a response back until it is known whether it is
// dropped.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *bufferedResponse) Header() http.Header            { return a.header }
func (a *bufferedResponse) Write(data []byte) (int, error) { return a.body.Write(data) }
func (a *bufferedResponse) WriteHeader(status int)         { a.status = status }

func (a *bufferedResponse) writeTo(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// gate blocks callers of wait while it is closed. The zero value is open.
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

// wait blocks until the gate is open or ctx is done.
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

// sleep blocks for d or until ctx is done.
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

// writeJSON responds with status and the JSON encoding of v.
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
