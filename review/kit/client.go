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

// Names in the configuration.
const (
	host    = "ateliers.example"
	service = "encre-service"
	// apiKey belongs to the tenant of most jobs, otherKey to another one.
	apiKey   = "key-atelier-1"
	otherKey = "key-lab-1"
)

// timeLimit is how long a client waits for an answer.
const timeLimit = 3 * time.Second

// object is a JSON object.
type object = map[string]any

// Clients send jobs to the daemons and remember what became of them.
type Clients struct {
	site *Site

	mu sync.Mutex
	// keys holds the paths of the jobs of the other tenant.
	keys map[string]string
	// next is the daemon that the next call goes to.
	next     int
	serial   int
	accepted []Job
	// Sent counts the jobs sent, and Unanswered those that got no answer in any attempt.
	Sent, Refused, Unanswered int
}

// Job is a job that was accepted.
type Job struct {
	Path string
	ID   string
	At   time.Time
}

// Call sends one request and returns the status, 0 for none, and the body.
func (c *Clients) Call(method, path string, body any) (int, string) {
	c.mu.Lock()
	d := c.site.Daemons[c.next%len(c.site.Daemons)]
	c.next++
	key := c.keys[path]
	c.mu.Unlock()
	if key == "" {
		key = apiKey
	}
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Front+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("Bluebellstile-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.site.Record.Line("client", "%s %s at %s -> no answer after %d ms", method, path, d.Name, time.Since(began).Milliseconds())
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	c.site.Record.Line("client", "%s %s at %s -> %d after %d ms %s", method, path, d.Name, response.StatusCode, time.Since(began).Milliseconds(), bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// SubmitOther hands in a job of the other tenant.
func (c *Clients) SubmitOther(queue, id string, job object) int {
	c.mu.Lock()
	if c.keys == nil {
		c.keys = make(map[string]string)
	}
	c.keys[queue+id] = otherKey
	c.mu.Unlock()
	return c.Submit(queue, id, job)
}

// NewID returns an id that no other job has.
func (c *Clients) NewID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("%016x", 0x1000+c.serial)
}

// Submit hands a job in, with up to four retries after no answer, 502 or 504,
// and returns the status of the last attempt.
func (c *Clients) Submit(queue, id string, job object) int {
	c.mu.Lock()
	c.Sent++
	c.mu.Unlock()
	status := 0
	for try := range 5 {
		if try > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		status, _ = c.Call(http.MethodPost, queue+id, job)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.accepted = append(c.accepted, Job{Path: queue + id, ID: id, At: time.Now()})
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		c.Unanswered++
	default:
		c.Refused++
	}
	return status
}

// State asks for the state of a job once; it is empty if there was no answer.
func (c *Clients) State(path string) (status int, state string) {
	status, text := c.Call(http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// Accepted returns the accepted jobs.
func (c *Clients) Accepted() []Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Job(nil), c.accepted...)
}

// Traffic sends a small job every pause until the context ends, each from a
// client of its own.
func (c *Clients) Traffic(ctx context.Context, queue string, pause time.Duration, job func() object) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				c.Submit(queue, c.NewID(), job())
			}()
		}
	}()
	return &wait
}

// AskForAll asks for every accepted job, with retries until the time is over, and
// returns the number of jobs by state; "no answer" and "unknown" stand for none
// and for 410.
func (c *Clients) AskForAll(within time.Duration) map[string]int {
	until := time.Now().Add(within)
	var mu sync.Mutex
	states := make(map[string]int)
	var wait sync.WaitGroup
	places := make(chan struct{}, 16)
	for _, j := range c.Accepted() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			result := "no answer"
			for first := true; first || time.Now().Before(until); first = false {
				places <- struct{}{}
				status, state := c.State(j.Path)
				<-places
				if status == http.StatusOK {
					result = state
					break
				}
				if status == http.StatusGone {
					result = "unknown"
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			mu.Lock()
			states[result]++
			mu.Unlock()
		}()
	}
	wait.Wait()
	return states
}
