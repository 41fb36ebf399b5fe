package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// What the operator's configuration names.
const (
	service   = "svc"
	host      = "desk.example"
	farFactor = 3.0
	// Bounds of the users' pages.
	finish       = 14 * time.Second
	starvedFor   = 3 * time.Second
	visible      = 3 * time.Second
	requestLimit = 3 * time.Second
	tries        = 5
)

// step is a step of a job as a client sends it, with what the runners make of it.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	Mem         int64  `json:"mem_mb,omitempty"`
	Estimate    int64  `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	Apart       int    `json:"anti_affinity,omitempty"`

	// work is how long a task takes; its first failsFirst runs fail.
	work       time.Duration
	failsFirst int
}

type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Times    int    `json:"times,omitempty"`
	First    int64  `json:"initial_delay_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`

	id, queue, key, tenant string
	// accepted is set once a daemon has answered 200, refused if one has said
	// that the job never runs.
	accepted, cancelled, refused bool
	acceptedAt                   time.Time
	// begun is set once a runner has started a task of the job.
	begun        bool
	state        string
	starvedSince time.Time
	starved      time.Duration
}

type client struct {
	f    *fleet
	rec  *recorder
	http *http.Client
	// doors are the addresses of the daemons that take requests.
	mu    sync.Mutex
	doors []string
	next  int
	sent  int
}

func newClient(f *fleet, rec *recorder, doors []string) *client {
	return &client{f: f, rec: rec, doors: doors, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *client) door() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.doors[c.next%len(c.doors)]
}

// call sends one request and returns the status, 0 without an answer.
func (c *client) call(method, door, path, key string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+door+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Bluebellstile-Deadline-Ms", "3000")
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// submit hands a job in, with the same id again where no answer says what became
// of it.
func (c *client) submit(j *job) {
	c.mu.Lock()
	c.sent++
	j.id = fmt.Sprintf("%016x", 0xb100000000000000+uint64(c.sent)*0x9e3779b9)
	c.mu.Unlock()
	j.Spec = "work of " + j.id
	c.f.mu.Lock()
	c.f.jobs[j.id] = j
	c.f.mu.Unlock()
	body, _ := json.Marshal(j)
	for try := range tries {
		door := c.door()
		status, _ := c.call(http.MethodPost, door, j.queue+j.id, j.key, body)
		c.rec.line("client: POST %s%s at %s, try %d: %d", j.queue, j.id, door, try+1, status)
		c.f.mu.Lock()
		j.accepted, j.acceptedAt = status == http.StatusOK, time.Now()
		j.refused = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		c.f.mu.Unlock()
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// ask reads a job's state.
func (c *client) ask(j *job) (int, string) {
	status := 0
	for range tries {
		var body []byte
		status, body = c.call(http.MethodGet, c.door(), j.queue+j.id, j.key, nil)
		c.rec.line("client: GET %s%s: %d %s", j.queue, j.id, status, bytes.TrimSpace(body))
		if status == http.StatusOK {
			var answer struct{ State string }
			_ = json.Unmarshal(body, &answer)
			return status, answer.State
		}
		if status == http.StatusGone {
			return status, ""
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, ""
}

// cancel cancels a job.
func (c *client) cancel(j *job) {
	c.f.mu.Lock()
	j.cancelled = true
	c.f.mu.Unlock()
	for range tries {
		status, _ := c.call(http.MethodDelete, c.door(), j.queue+j.id, j.key, nil)
		c.rec.line("client: DELETE %s%s: %d", j.queue, j.id, status)
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
