package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/api"
)

// rejectedCall is a call that has to be refused with the given status and code.
type rejectedCall struct {
	name   string
	call   apiCall
	status int
	code   string
}

// badRequests returns requests that have to be refused.
func badRequests(c *testCell) []rejectedCall {
	ok := c.requestCall(0, "echo", "x")
	at := func(path string) apiCall { k := ok; k.url = c.url(0, path); return k }
	as := func(secret string) apiCall { k := ok; k.secret = secret; return k }
	large := ok
	large.body = make([]byte, 1<<20+1)
	return []rejectedCall{
		{"unknown queue", at("/v1/queues/nosuch/requests"), 404, "unknown_queue"},
		{"wrong team's key", as(linenSecret), 403, "team_not_allowed"},
		{"withdrawn key", as(withdrawnSecret), 403, "key_refused"},
		{"unknown key", as("nosuch"), 403, "key_refused"},
		{"no key", as(""), 401, "key_missing"},
		{"oversize body", large, 413, "body_too_large"},
		{"missing command", ok.with(api.HeaderCommand, ""), 400, "bad_request"},
		{"idempotent is no boolean", ok.with(api.HeaderIdempotent, "perhaps"), 400, "bad_request"},
		{"deadline is no duration", ok.with(api.HeaderDeadline, "soon"), 400, "bad_request"},
		{"negative deadline", ok.with(api.HeaderDeadline, "-1s"), 400, "bad_request"},
		{"zero deadline", ok.with(api.HeaderDeadline, "0s"), 400, "bad_request"},
		{"ticket that is no ticket", ok.with(api.HeaderTicket, "t1.a.x.1.n"), 400, "ticket_invalid"},
		{"ticket that is too long", ok.with(api.HeaderTicket, "t1.a.1.1."+strings.Repeat("n", 500)), 400, "ticket_invalid"},
		{"no such resource", at("/v1/nosuch"), 404, "bad_request"},
		{"method that is not allowed", apiCall{method: http.MethodPut, url: c.url(0, "/v1/tickets")}, 405, "bad_request"},
		{"cancel of no ticket", apiCall{method: http.MethodDelete, url: c.url(0, "/v1/requests/nosuch"), secret: inkSecret}, 400, "ticket_invalid"},
		{"ticket body that is no JSON", apiCall{method: http.MethodPost, url: c.url(0, "/v1/tickets"), secret: inkSecret, body: []byte("{")}, 400, "bad_request"},
	}
}

// jobBody returns the body of a job with n tasks of the given size.
func jobBody(n int, gang bool, size string) string {
	inputs := strings.TrimSuffix(strings.Repeat(`"eA==",`, n), ",")
	return fmt.Sprintf(`{"command":"echo","inputs":[%s],"gang":%v,"size":%s}`, inputs, gang, size)
}

// badJobs returns job calls that have to be refused.
func badJobs(c *testCell) []rejectedCall {
	const fits = `{"milli_cores":1000,"memory_mb":100}`
	linen := c.jobCall(jobBody(9, true, fits))
	linen.secret = linenSecret
	ticket := strings.Replace(jobBody(1, false, fits), "{", `{"ticket":"nosuch",`, 1)
	return []rejectedCall{
		{"job that no worker can run", c.jobCall(jobBody(1, false, `{"milli_cores":9000,"memory_mb":100}`)), 422, "never_runnable"},
		{"gang larger than the zone", linen, 422, "never_runnable"},
		{"gang larger than the team's limit", c.jobCall(jobBody(inkLimit+1, true, fits)), 422, "never_runnable"},
		{"negative cores", c.jobCall(jobBody(1, false, `{"milli_cores":-1,"memory_mb":1}`)), 400, "bad_request"},
		{"negative memory", c.jobCall(jobBody(1, false, `{"milli_cores":1,"memory_mb":-1}`)), 400, "bad_request"},
		{"absurd cores", c.jobCall(jobBody(1, false, `{"milli_cores":9223372036854775807,"memory_mb":1}`)), 400, "bad_request"},
		{"absurd memory", c.jobCall(jobBody(1, false, `{"milli_cores":1,"memory_mb":9223372036854775807}`)), 400, "bad_request"},
		{"absurd accelerators", c.jobCall(jobBody(1, false, `{"milli_cores":1,"memory_mb":1,"accelerators":99999999}`)), 400, "bad_request"},
		{"size over the number's range", c.jobCall(jobBody(1, false, `{"milli_cores":99999999999999999999}`)), 400, "bad_request"},
		{"no size", c.jobCall(jobBody(1, false, `{}`)), 400, "bad_request"},
		{"accelerators that no worker has", c.jobCall(jobBody(1, false, `{"milli_cores":1,"memory_mb":1,"accelerators":1}`)), 422, "never_runnable"},
		{"no tasks", c.jobCall(jobBody(0, false, fits)), 400, "bad_request"},
		{"negative run time", c.jobCall(strings.Replace(jobBody(1, false, fits), "{", `{"run_time_ms":-1,`, 1)), 400, "bad_request"},
		{"absurd run time", c.jobCall(strings.Replace(jobBody(1, false, fits), "{", `{"run_time_ms":9223372036854775807,`, 1)), 400, "bad_request"},
		{"job without a command", c.jobCall(`{"inputs":["eA=="],"size":` + fits + `}`), 400, "bad_request"},
		{"job body cut in half", c.jobCall(jobBody(1, false, fits)[:30]), 400, "bad_request"},
		{"input that is no base64", c.jobCall(`{"command":"echo","inputs":["*"],"size":` + fits + `}`), 400, "bad_request"},
		{"job under no ticket", c.jobCall(ticket), 400, "ticket_invalid"},
		{"read of an unknown job", apiCall{method: http.MethodGet, url: c.url(0, "/v1/jobs/nosuch"), secret: inkSecret}, 404, "unknown_job"},
		{"cancel of an unknown job", apiCall{method: http.MethodDelete, url: c.url(0, "/v1/jobs/nosuch"), secret: inkSecret}, 404, "unknown_job"},
		{"list without a key", apiCall{method: http.MethodGet, url: c.url(0, "/v1/jobs")}, 403, "key_refused"},
	}
}

// check makes the call and requires a refusal with the expected status and code,
// a remedy and the verdict "not run".
func (b *rejectedCall) check(t *testing.T, c *testCell) {
	a := c.do(b.call)
	p := a.problem
	if a.status != b.status || p.Code != b.code {
		t.Errorf("answered %d %q (%s), want %d %q", a.status, p.Code, p.Detail, b.status, b.code)
	}
	if p.Status != a.status || p.Remedy == "" || p.Detail == "" || p.Verdict != "not run" || a.verdict() != "not run" {
		t.Errorf("the problem document is %+v with verdict %q", p, a.verdict())
	}
	if a.header.Get(api.HeaderRequestID) == "" {
		t.Error("the answer has no request id")
	}
}

// requireServing fails the test unless both daemons still serve requests.
func (c *testCell) requireServing(t *testing.T) {
	t.Helper()
	for i := range c.daemons {
		if a := c.do(c.requestCall(i, "echo", "still here")); string(a.body) != "still here" || a.verdict() != "done" {
			t.Errorf("daemon %d answers %d %s", i, a.status, a.body)
		}
	}
}

func TestBadInput(t *testing.T) {
	c := startCell(t)
	for _, b := range append(badRequests(c), badJobs(c)...) {
		t.Run(b.name, func(t *testing.T) {
			b.check(t, c)
			c.requireServing(t)
		})
	}
	t.Run("truncated body", func(t *testing.T) { truncatedBody(t, c) })
	t.Run("headers too large", func(t *testing.T) { headersTooLarge(t, c) })
	t.Run("garbage on every port", func(t *testing.T) { garbageOnEveryPort(t, c) })
	t.Run("ticket with another body", func(t *testing.T) { ticketWithAnotherBody(t, c) })
	t.Run("ticket of another team", func(t *testing.T) { ticketOfAnotherTeam(t, c) })
	t.Run("job ticket with another job", func(t *testing.T) { jobTicketWithAnotherJob(t, c) })
	t.Run("two clients race one ticket", func(t *testing.T) { raceOneTicket(t, c) })
	t.Run("refused retry of running work", func(t *testing.T) { refusedRetryOfRunningWork(t, c) })
	c.requireServing(t)
}

// sendRaw sends text to an address, closes the sending side and returns what was
// received.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(startBound))
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	out, _ := io.ReadAll(conn)
	return string(out)
}

// truncatedBody sends a body that is shorter than its Content-Length.
func truncatedBody(t *testing.T, c *testCell) {
	address, _, _ := c.daemons[0].Addresses()
	out := sendRaw(t, address, "POST /v1/queues/labels/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+inkSecret+
		"\r\n"+api.HeaderCommand+": echo\r\nContent-Length: 100\r\n\r\nhalf")
	for _, want := range []string{"400 Bad Request", `"truncated_body"`, `"not run"`, `"remedy"`} {
		if !strings.Contains(out, want) {
			t.Errorf("the answer lacks %s: %s", want, out)
		}
	}
	c.requireServing(t)
}

// headersTooLarge sends headers that exceed the size limit.
func headersTooLarge(t *testing.T, c *testCell) {
	a := c.do(c.requestCall(0, "echo", "x").with("X-Large", strings.Repeat("x", 4<<20)))
	if a.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("answered %d", a.status)
	}
	c.requireServing(t)
}

// garbageOnEveryPort sends malformed requests to the client, peer and admin ports
// of a daemon and to an endpoint.
func garbageOnEveryPort(t *testing.T, c *testCell) {
	apiAddress, peerAddress, adminAddress := c.daemons[0].Addresses()
	texts := []string{"\x00\xff\xfe garbage", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff", "GET / HTTP/9.9\r\n\r\n",
		"POST /bluebellstile.peer.v1.PeerService/Run HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\nContent-Length: 4\r\n\r\n\xff\xff\xff\xff"}
	for _, address := range []string{apiAddress, peerAddress, adminAddress, c.runner.Addr()} {
		for _, text := range texts {
			if out := sendRaw(t, address, text); strings.Contains(out, "200 OK") {
				t.Errorf("a malformed request to %s was served: %s", address, out)
			}
		}
	}
	c.requireServing(t)
}

// ticketWithAnotherBody uses one ticket for two different requests: the second
// one has to be refused.
func ticketWithAnotherBody(t *testing.T, c *testCell) {
	ticket := c.ticket()
	first := c.do(c.requestCall(0, "echo", "first").with(api.HeaderTicket, ticket))
	second := c.do(c.requestCall(1, "echo", "second").with(api.HeaderTicket, ticket))
	again := c.do(c.requestCall(1, "echo", "first").with(api.HeaderTicket, ticket))
	if string(first.body) != "first" || string(again.body) != "first" || second.status != http.StatusConflict || second.problem.Code != "ticket_conflict" {
		t.Errorf("answers: %s; %d %s; %s", first.body, second.status, second.body, again.body)
	}
	if n := c.startsOf(ticket); n != 1 {
		t.Errorf("the ticket was started %d times", n)
	}
}

// ticketOfAnotherTeam sends a team's ticket with the key of another team, which
// must not get the answer.
func ticketOfAnotherTeam(t *testing.T, c *testCell) {
	own := c.requestCall(0, "echo", "secret")
	own.url = c.url(0, "/v1/queues/costing/requests")
	ticket := c.ticket()
	if a := c.do(own.with(api.HeaderTicket, ticket)); string(a.body) != "secret" {
		t.Fatalf("answered %d %s", a.status, a.body)
	}
	other := own.with(api.HeaderTicket, ticket)
	other.secret = linenSecret
	if a := c.do(other); a.status != http.StatusConflict || a.problem.Code != "ticket_conflict" {
		t.Errorf("another team got %d %s", a.status, a.body)
	}
}

// jobTicketWithAnotherJob submits two different jobs under one ticket: the second
// one has to be refused.
func jobTicketWithAnotherJob(t *testing.T, c *testCell) {
	const fits = `{"milli_cores":1000,"memory_mb":100}`
	body := func(input string) apiCall {
		return c.jobCall(fmt.Sprintf(`{"ticket":%q,"command":"echo","inputs":[%q],"size":%s}`, "TICKET", input, fits))
	}
	ticket := c.ticket()
	first, second, again := body("Zmlyc3Q="), body("c2Vjb25k"), body("Zmlyc3Q=")
	for _, k := range []*apiCall{&first, &second, &again} {
		k.body = []byte(strings.Replace(string(k.body), "TICKET", ticket, 1))
	}
	a := c.do(first)
	if a.status != http.StatusAccepted {
		t.Fatalf("answered %d %s", a.status, a.body)
	}
	if b := c.do(again); b.status != http.StatusAccepted || string(b.body) != string(a.body) {
		t.Errorf("the same job again: %d %s", b.status, b.body)
	}
	if b := c.do(second); b.status != http.StatusConflict || b.problem.Code != "ticket_conflict" {
		t.Errorf("another job: %d %s", b.status, b.body)
	}
}

// raceOneTicket sends one non-idempotent request through both daemons at once. It
// has to start once, and all clients get its answer.
func raceOneTicket(t *testing.T, c *testCell) {
	for range 10 {
		ticket := c.ticket()
		var racing sync.WaitGroup
		for i := range 8 {
			racing.Go(func() {
				a := c.do(c.requestCall(i%2, "sleep", "20ms").with(api.HeaderTicket, ticket))
				if string(a.body) != "slept 20ms" || a.verdict() != "done" {
					t.Errorf("client %d got %d %s", i, a.status, a.body)
				}
			})
		}
		racing.Wait()
		if n := c.startsOf(ticket); n != 1 {
			t.Errorf("the ticket was started %d times", n)
		}
	}
}

// refusedRetryOfRunningWork sends the ticket of a running request again in ways
// that the receiving daemon refuses by itself. Since the request runs, the verdict
// of the refusal must not be "not run".
func refusedRetryOfRunningWork(t *testing.T, c *testCell) {
	ticket := c.ticket()
	own := c.requestCall(0, "sleep", "2s").with(api.HeaderTicket, ticket)
	done := make(chan *apiResponse, 1)
	go func() { done <- c.do(own) }()
	for deadline := time.Now().Add(startBound); c.startsOf(ticket) == 0 && time.Now().Before(deadline); {
		time.Sleep(startPoll)
	}
	withdrawn := own
	withdrawn.secret = withdrawnSecret
	retries := map[string]apiCall{
		"withdrawn key": withdrawn,
		"bad header":    own.with(api.HeaderIdempotent, "perhaps"),
	}
	for name, retry := range retries {
		if a := c.do(retry); a.problem.Verdict == "not run" {
			t.Errorf("%s: the retry of a running request got %s (%s)", name, a.problem.Code, a.problem.Verdict)
		}
	}
	if a := <-done; string(a.body) != "slept 2s" {
		t.Errorf("answered %d %s", a.status, a.body)
	}
}
