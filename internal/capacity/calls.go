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
	// maxIdleConnections is large enough to keep all connections of the
	// largest load open.
	maxIdleConnections = 12000
	// maxInFlight bounds the requests in flight of one load.
	maxInFlight = 12000
)

// caller sends requests and jobs to one daemon.
type caller struct {
	url  string
	http *http.Client
}

// newCaller returns a caller that sends to the API of p.
func newCaller(p *process) *caller {
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	return &caller{url: "http://" + p.api, http: &http.Client{Transport: transport}}
}

// close closes idle connections.
func (c *caller) close() { c.http.CloseIdleConnections() }

// request sends one request and waits for its answer.
func (c *caller) request(ctx context.Context, command, input string) error {
	header := http.Header{"Bluebellstile-Command": {command}}
	return c.post(ctx, "/v1/queues/"+requestQueue+"/requests", header, []byte(input))
}

// job is the JSON body of a job submission.
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

// submit submits a job of the given number of tasks and waits until the daemon
// accepts it.
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

// post sends one POST request and reads the response; a status of 300 or above
// is an error.
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

// make calls send at a fixed rate, in calls per second, for the given time and
// waits for the answers.
func (c *caller) make(rate float64, length time.Duration, send func(context.Context) error) (*load.Result, error) {
	return load.Run(context.Background(), load.Options{Rate: rate, Duration: length, MaxInFlight: maxInFlight, Send: send})
}

// oneZone returns the shape of a cell with a single zone.
func oneZone(daemons, workers, runners int) []zoneSize {
	return []zoneSize{{name: "zone-a", region: "region-a", daemons: daemons, workers: workers, runners: runners}}
}
