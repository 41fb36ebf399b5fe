package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const host = "nony24.example"

// client sends requests of the tenants to the daemons in turn.
type client struct {
	site *site
	http http.Client
	next int
}

func newClient(s *site) *client {
	return &client{site: s, http: http.Client{Timeout: 3 * time.Second}}
}

// call sends one request to the daemon in turn.
func (c *client) call(door int, method, path, key string, body []byte) (int, []byte, error) {
	d := c.site.daemons[door%len(c.site.daemons)]
	r, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("Bluebellstile-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// job is a job as sent.
type job struct {
	id, queue, key string
	steps          []map[string]any
	spec           spec
	// times, delay and interval are those of a scheduled job.
	times           int
	delay, interval int64
	accepted        time.Time
	state           string
}

func (j *job) path() string { return "/" + j.queue + "/" + j.id }

// submit sends a job until it is accepted, for at most 10 s.
func (c *client) submit(j *job) error {
	text, _ := json.Marshal(j.spec)
	fields := map[string]any{"spec": string(text), "steps": j.steps}
	if j.times > 0 {
		fields["times"], fields["initial_delay_ms"], fields["interval_ms"] = j.times, j.delay, j.interval
	}
	body, _ := json.Marshal(fields)
	c.site.register(j)
	status := 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		c.next++
		var err error
		var answer []byte
		status, answer, err = c.call(c.next, http.MethodPost, j.path(), j.key, body)
		if status == http.StatusOK {
			j.accepted = time.Now()
			c.site.rec.line("POST %s %s answered 200", j.path(), body)
			return nil
		}
		c.site.rec.line("POST %s answered %d %s %v", j.path(), status, bytes.TrimSpace(answer), err)
	}
	return fmt.Errorf("job %s was not accepted: %d", j.id, status)
}

// status asks for the state of a job.
func (c *client) status(j *job) string {
	c.next++
	status, answer, err := c.call(c.next, http.MethodGet, j.path(), j.key, nil)
	var body struct{ State string }
	_ = json.Unmarshal(answer, &body)
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("answered %d %v", status, err)
	}
	if body.State != j.state {
		c.site.rec.line("GET %s answered %s", j.path(), body.State)
		j.state = body.State
	}
	return body.State
}

// await asks for a job's state until it is completed; it reports false after the time.
func (c *client) await(j *job, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		if c.status(j) == "completed" {
			return true
		}
	}
	return false
}
