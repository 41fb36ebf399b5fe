package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/api"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/internal/standin"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Secrets and bounds of the test cell.
const (
	// operatorSecret is an operator's key, the other secrets are keys of teams.
	operatorSecret  = "operator-secret"
	inkSecret       = "ink-secret"
	linenSecret     = "linen-secret"
	withdrawnSecret = "withdrawn-secret"
	// startBound is how long a cell may take to start.
	startBound = 20 * time.Second
	// startPoll is the pause between two attempts to reach a starting cell.
	startPoll = 20 * time.Millisecond
	// inkLimit is the upper limit of team ink, which is less than the zone's
	// capacity.
	inkLimit = 4
)

// testCell is one zone within this process: daemons, and stand-ins for the
// platform's services and for the endpoints.
type testCell struct {
	t         *testing.T
	daemons   []*Server
	services  []*standin.Server
	endpoints []*standin.Endpoint
	runner    *standin.Server
	log       *standin.Log
	client    *http.Client

	mu     sync.Mutex
	events []history.Event
}

// Write implements io.Writer: it records an event of the endpoints' history.
func (c *testCell) Write(line []byte) (int, error) {
	var e history.Event
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	return len(line), nil
}

// startsOf returns how often the work of a ticket was started.
func (c *testCell) startsOf(ticketText string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.events {
		if e.Kind == history.TaskStarted && e.Ticket == ticketText {
			n++
		}
	}
	return n
}

// startCell starts a zone of two daemons, a worker and a runner, publishes a
// configuration and stops the zone when the test ends.
func startCell(t *testing.T) *testCell {
	t.Helper()
	c := &testCell{t: t, log: standin.NewLog(standin.LogOptions{}), client: &http.Client{Transport: &http.Transport{}}}
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		c.stop()
		goleak.VerifyNone(t, leaks)
	})
	list := standin.NewList(nil, 0)
	logURL, listURL := c.serve(c.log).Addr(), c.serve(list).Addr()
	writer := history.NewWriter(c)
	worker := c.serveEndpoint(standin.EndpointOptions{ID: "w1", Kind: endpoint.KindWorker, Capacity: endpoint.Resources{MilliCores: 8000, MemoryMB: 8000}, History: writer})
	c.runner = c.serveEndpoint(standin.EndpointOptions{ID: "r1", Kind: endpoint.KindRunner, Capacity: endpoint.Resources{Slots: 4}, History: writer})
	instances := []loglist.Instance{
		{ID: "w1", Role: loglist.RoleWorker, Address: worker.Addr(), Region: "r", AvailabilityZone: "a", State: loglist.StateLive},
		{ID: "r1", Role: loglist.RoleRunner, Address: c.runner.Addr(), Region: "r", AvailabilityZone: "a", State: loglist.StateLive},
	}
	for i := range 2 {
		d := c.newDaemon(fmt.Sprintf("d%d", i), "http://"+logURL, "http://"+listURL)
		_, peerAddress, _ := d.Addresses()
		instances = append(instances, loglist.Instance{ID: d.self.Instance, Role: loglist.RoleEntry, Address: peerAddress, Region: "r", AvailabilityZone: "a", State: loglist.StateLive})
	}
	list.Set(instances)
	for _, d := range c.daemons {
		d.Start()
	}
	c.publish(0, cellConfig())
	c.awaitServing()
	return c
}

// serve runs a stand-in service on a free port.
func (c *testCell) serve(service standin.Service) *standin.Server {
	s, err := standin.Serve(service, "127.0.0.1:0", "")
	if err != nil {
		c.t.Fatal(err)
	}
	c.services = append(c.services, s)
	return s
}

// serveEndpoint runs a stand-in endpoint of the zone.
func (c *testCell) serveEndpoint(o standin.EndpointOptions) *standin.Server {
	o.AvailabilityZone = "a"
	e := standin.NewEndpoint(o)
	c.endpoints = append(c.endpoints, e)
	return c.serve(e)
}

// newDaemon creates a daemon on free ports.
func (c *testCell) newDaemon(id, logURL, listURL string) *Server {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Zone: "a", Region: "r"}
	s.Listen = settings.Listen{API: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Platform.LogURL, s.Platform.ListURL = logURL, listURL
	s.Limits.MaxBodyBytes = 1 << 20
	s.Limits.DrainTimeout = 5 * time.Second
	d, err := New(s, new(slog.LevelVar), slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	c.daemons = append(c.daemons, d)
	return d
}

// stop stops the daemons, then the stand-ins.
func (c *testCell) stop() {
	var stopping sync.WaitGroup
	for _, d := range c.daemons {
		stopping.Go(func() {
			if err := d.Stop(context.Background()); err != nil {
				c.t.Errorf("stop: %v", err)
			}
		})
	}
	stopping.Wait()
	c.client.CloseIdleConnections()
	for _, s := range c.services {
		stopping.Go(func() { _ = s.Close() })
	}
	stopping.Wait()
	for _, e := range c.endpoints {
		_ = e.Close()
	}
}

// cellConfig returns the configuration of the test cell.
func cellConfig() *operator.Config {
	key := func(id, team, secret string) operator.Key {
		return operator.Key{ID: id, Team: team, SHA256: operator.HashSecret(secret)}
	}
	ops := key("ops", "ops", operatorSecret)
	ops.Operator = true
	withdrawn := key("old", "ink", withdrawnSecret)
	withdrawn.Withdrawn = true
	return &operator.Config{
		Zones:  []operator.Zone{{Name: "a", Region: "r"}},
		Teams:  []operator.Team{{Name: "ops", Share: 1, UpperLimit: 1}, {Name: "ink", Share: 1, UpperLimit: inkLimit}, {Name: "linen", Share: 1, UpperLimit: 20}},
		Keys:   []operator.Key{ops, withdrawn, key("k1", "ink", inkSecret), key("k2", "linen", linenSecret)},
		Queues: []operator.Queue{{Name: "labels", Teams: []string{"ink"}, Runner: true}, {Name: "costing"}, {Name: "open", Open: true, OpenTeam: "ink", Runner: true}},
	}
}

// publish publishes a configuration that replaces the version expected.
func (c *testCell) publish(expected uint64, cfg *operator.Config) {
	c.t.Helper()
	text, err := operator.Print(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	body, _ := json.Marshal(map[string]any{"text": text, "expected": expected})
	_, _, admin := c.daemons[0].Addresses()
	for deadline := time.Now().Add(startBound); ; time.Sleep(startPoll) {
		answer := c.do(apiCall{method: http.MethodPost, url: "http://" + admin + "/admin/v1/config", secret: operatorSecret, body: body})
		if answer.status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("publish: %d %s", answer.status, answer.body)
		}
	}
}

// awaitServing waits until both daemons serve requests and a worker is usable.
func (c *testCell) awaitServing() {
	c.t.Helper()
	deadline := time.Now().Add(startBound)
	for i := range c.daemons {
		for {
			answer := c.do(c.requestCall(i, "echo", "up"))
			if answer.status == http.StatusOK && c.workerUsable() {
				break
			}
			if time.Now().After(deadline) {
				c.t.Fatalf("the cell does not start: %+v", answer.problem)
			}
			time.Sleep(startPoll)
		}
	}
}

// workerUsable reports whether the zone knows its worker. It submits a job that is
// too large for it: the refusal names the largest size that fits.
func (c *testCell) workerUsable() bool {
	answer := c.do(c.jobCall(`{"command":"echo","inputs":["eA=="],"size":{"milli_cores":9000,"memory_mb":1}}`))
	return answer.problem.Code == "never_runnable" && strings.Contains(answer.problem.Detail, "ask for at most")
}

// apiCall describes an HTTP request.
type apiCall struct {
	method  string
	url     string
	secret  string
	headers map[string]string
	body    []byte
}

// problemBody is the body of a problem document.
type problemBody struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
	Verdict string `json:"verdict"`
}

// apiResponse is the response to an apiCall.
type apiResponse struct {
	status  int
	header  http.Header
	body    []byte
	problem problemBody
}

// verdict returns the verdict that the header gives.
func (a *apiResponse) verdict() string { return a.header.Get(api.HeaderVerdict) }

// do sends a call and returns its response.
func (c *testCell) do(call apiCall) *apiResponse {
	request, err := http.NewRequest(call.method, call.url, bytes.NewReader(call.body))
	if err != nil {
		c.t.Fatal(err)
	}
	if call.secret != "" {
		request.Header.Set("Authorization", "Bearer "+call.secret)
	}
	for name, value := range call.headers {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.t.Errorf("%s %s: %v", call.method, call.url, err)
		return &apiResponse{header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Errorf("%s %s: %v", call.method, call.url, err)
	}
	a := &apiResponse{status: response.StatusCode, header: response.Header, body: body}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		if err := json.Unmarshal(body, &a.problem); err != nil {
			c.t.Errorf("%s %s: %v", call.method, call.url, err)
		}
	}
	return a
}

// url returns the URL of a path on a daemon's client interface.
func (c *testCell) url(daemon int, path string) string {
	address, _, _ := c.daemons[daemon].Addresses()
	return "http://" + address + path
}

// requestCall returns a request of team ink.
func (c *testCell) requestCall(daemon int, command, input string) apiCall {
	return apiCall{method: http.MethodPost, url: c.url(daemon, "/v1/queues/labels/requests"), secret: inkSecret, headers: map[string]string{api.HeaderCommand: command}, body: []byte(input)}
}

// jobCall returns a job submission of team ink.
func (c *testCell) jobCall(body string) apiCall {
	return apiCall{method: http.MethodPost, url: c.url(0, "/v1/queues/costing/jobs"), secret: inkSecret, body: []byte(body)}
}

// ticket requests a ticket for team ink.
func (c *testCell) ticket() string {
	a := c.do(apiCall{method: http.MethodPost, url: c.url(0, "/v1/tickets"), secret: inkSecret, body: []byte(`{"queue":"labels"}`)})
	var body struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(a.body, &body); err != nil || body.Ticket == "" {
		c.t.Fatalf("no ticket: %d %s", a.status, a.body)
	}
	return body.Ticket
}

// with returns a copy of the call with a header set.
func (k apiCall) with(name, value string) apiCall {
	headers := map[string]string{name: value}
	for n, v := range k.headers {
		if n != name {
			headers[n] = v
		}
	}
	k.headers = headers
	return k
}
