package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/load"
)

const (
	// idleConnections keeps the callers' connections of the largest load.
	idleConnections = 12000
	// maxInFlight bounds the requests in flight of one load.
	maxInFlight = 12000
)

// caller sends requests and jobs to one daemon.
type caller struct {
	url  string
	http *http.Client
}

// newCaller returns a caller of a daemon.
func newCaller(p *process) *caller {
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections}
	return &caller{url: "http://" + p.api, http: &http.Client{Transport: transport}}
}

// close ends idle connections.
func (c *caller) close() { c.http.CloseIdleConnections() }

// request sends one request and waits for its answer.
func (c *caller) request(ctx context.Context, command, input string) error {
	header := http.Header{"Bluebellstile-Command": {command}}
	return c.post(ctx, "/v1/queues/"+requestQueue+"/requests", header, []byte(input))
}

// job is the body of a submission.
type job struct {
	Command    string   `json:"command"`
	Inputs     [][]byte `json:"inputs"`
	Idempotent bool     `json:"idempotent"`
	Size       jobSize  `json:"size"`
}

// jobSize is the size of each task of a job.
type jobSize struct {
	MilliCores int64 `json:"milli_cores"`
	MemoryMB   int64 `json:"memory_mb"`
}

// submit submits a job of a number of tasks and waits until it is accepted.
func (c *caller) submit(ctx context.Context, tasks int, input string) error {
	j := job{Command: "echo", Idempotent: true, Size: jobSize{MilliCores: 1000, MemoryMB: 64}}
	for range tasks {
		j.Inputs = append(j.Inputs, []byte(input))
	}
	body, err := json.Marshal(j)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	return c.post(ctx, "/v1/queues/"+jobQueue+"/jobs", http.Header{"Content-Type": {"application/json"}}, body)
}

// post makes one exchange; a status of 300 or above is an error.
func (c *caller) post(ctx context.Context, path string, header http.Header, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	r.Header = header
	r.Header.Set("Authorization", "Bearer "+benchSecret)
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// make sends at a fixed rate for a time and waits for the answers.
func (c *caller) make(rate float64, length time.Duration, send func(context.Context) error) (*load.Result, error) {
	return load.Run(context.Background(), load.Options{Rate: rate, Duration: length, MaxInFlight: maxInFlight, Send: send})
}

// oneZone is a cell of one zone.
func oneZone(daemons, workers, runners int) []zoneSize {
	return []zoneSize{{name: "zone-a", region: "region-a", daemons: daemons, workers: workers, runners: runners}}
}
