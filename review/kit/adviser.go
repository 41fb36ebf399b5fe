package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Adviser is a stand-in of the service that knows which runners may run a step.
// Seven runners in ten may, and which ones doesn't change.
type Adviser struct {
	Decide, Each, ValidFor time.Duration

	mu      sync.Mutex
	tickets map[string]time.Time
}

// ServeHTTP answers a question.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(a.Decide + time.Duration(len(q.Workers))*a.Each)
	good := [][]string{}
	a.mu.Lock()
	if a.tickets == nil {
		a.tickets = make(map[string]time.Time)
	}
	for _, id := range q.Workers {
		if !may(q.Step, id) {
			continue
		}
		ticket := fmt.Sprintf("t%d", len(a.tickets))
		a.tickets[q.Step+" "+id+" "+ticket] = time.Now().Add(a.ValidFor)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.ValidFor.Milliseconds()})
}

func may(step, id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + id))
	return h.Sum32()%10 < 7
}

// Valid reports whether a ticket lets a task start on a runner now.
func (a *Adviser) Valid(task, id, ticket string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	until, known := a.tickets[step+" "+id+" "+ticket]
	return known && time.Now().Before(until)
}
