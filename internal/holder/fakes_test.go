package holder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// memoryLog is the platform's log in memory, without sockets.
type memoryLog struct {
	*standin.Log
	mu sync.Mutex
	// decide returns what happens to an append; if it is nil every append is answered.
	decide func(e *record.Envelope) appendResult
	down   bool
}

// appendResult is what happens to one append.
type appendResult int

const (
	// appendAnswered takes effect and is answered.
	appendAnswered appendResult = iota
	// appendRefused has no effect, and the error says so.
	appendRefused
	// appendAnswerLost takes effect, but its answer is lost.
	appendAnswerLost
)

// newMemoryLog returns an empty log.
func newMemoryLog() *memoryLog { return &memoryLog{Log: standin.NewLog(standin.LogOptions{})} }

// setAppendRule replaces the function that decides about appends.
func (l *memoryLog) setAppendRule(f func(e *record.Envelope) appendResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide = f
}

// setDown makes the log refuse every call.
func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// resultOf returns what happens to an append.
func (l *memoryLog) resultOf(data []byte) appendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return appendRefused
	}
	if l.decide == nil {
		return appendAnswered
	}
	e, err := record.Decode(data)
	if err != nil {
		return appendAnswered
	}
	return l.decide(e)
}

// Append implements loglist.Log.
func (l *memoryLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	result := l.resultOf(data)
	if result == appendRefused {
		return 0, &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
	}
	offset := l.Log.Append(id, data)
	if result == appendAnswerLost {
		return 0, &loglist.Error{Kind: loglist.KindAppendUnknown, Op: "append"}
	}
	return offset, nil
}

// Read implements loglist.Log.
func (l *memoryLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*loglist.ReadResponse, error) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		return nil, &loglist.Error{Kind: loglist.KindUnavailable, Op: "read"}
	}
	return l.Log.Read(ctx, from, limit, wait), nil
}

// fixedLister is the platform's list of instances.
type fixedLister []loglist.Instance

// Instances implements loglist.Lister.
func (l fixedLister) Instances(context.Context, loglist.Filter) (*loglist.InstanceList, error) {
	return &loglist.InstanceList{Instances: l, AsOf: time.Now()}, nil
}

// testEndpoint is an endpoint whose process may be replaced. It passes commands to the
// process without sockets, and may lose them.
type testEndpoint struct {
	options standin.EndpointOptions
	// alter, if set, changes commands before and answers after they are passed on.
	alter atomic.Pointer[func(path string, request, response any)]

	mu      sync.Mutex
	process *standin.Endpoint
	// dropAll drops every command before it takes effect, dropPath those of one path.
	dropAll  bool
	dropPath string
	// loseAnswers is the number of next commands whose answers are lost, repeatCommands
	// the number of next commands that arrive a second time repeatDelay later.
	loseAnswers    int
	repeatCommands int
	repeats        sync.WaitGroup
}

// repeatDelay is the delay of a repeated command. It exceeds the lease.
const repeatDelay = 4 * time.Second

// newTestEndpoint starts an endpoint.
func newTestEndpoint(options standin.EndpointOptions) *testEndpoint {
	return &testEndpoint{options: options, process: standin.NewEndpoint(options)}
}

// restart kills the process and starts another one.
func (e *testEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.Kill()
	_ = e.process.Close()
	e.process = standin.NewEndpoint(e.options)
}

// close ends the process.
func (e *testEndpoint) close() {
	e.repeats.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Close()
}

// setFaults changes the faults of the connection under its lock.
func (e *testEndpoint) setFaults(f func(e *testEndpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// takeFaults returns the faults of the next command and counts them as used.
func (e *testEndpoint) takeFaults(path string) (process *standin.Endpoint, drop, lose, repeat bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseAnswers > 0 {
		e.loseAnswers--
		lose = true
	}
	if e.repeatCommands > 0 {
		e.repeatCommands--
		repeat = true
	}
	return e.process, e.dropAll || e.dropPath == path, lose, repeat
}

// call passes one command to the process and returns its answer.
func call[Resp any](ctx context.Context, e *testEndpoint, path string, request any) (*Resp, error) {
	process, drop, lose, repeat := e.takeFaults(path)
	if drop {
		return nil, &endpoint.Error{Kind: endpoint.KindUnreachable, Op: path}
	}
	if alter := e.alter.Load(); alter != nil {
		(*alter)(path, request, nil)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if repeat {
		e.repeats.Go(func() {
			time.Sleep(repeatDelay)
			exchange(context.Background(), process, path, body)
		})
	}
	answer := exchange(ctx, process, path, body)
	if lose || ctx.Err() != nil {
		return nil, &endpoint.Error{Kind: endpoint.KindUnreachable, Op: path, MaybeDelivered: true}
	}
	response := new(Resp)
	if err := decodeAnswer(path, answer, response); err != nil {
		return nil, err
	}
	if alter := e.alter.Load(); alter != nil {
		(*alter)(path, request, response)
	}
	return response, nil
}

// exchange serves one command by a process.
func exchange(ctx context.Context, process *standin.Endpoint, path string, body []byte) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	process.Handler().ServeHTTP(answer, request)
	return answer
}

// decodeAnswer converts an answer to a response or an error as the client does.
func decodeAnswer(path string, answer *httptest.ResponseRecorder, response any) error {
	switch answer.Code {
	case http.StatusOK:
		return json.Unmarshal(answer.Body.Bytes(), response)
	case endpoint.StatusFenced:
		var fenced endpoint.FencedBody
		err := json.Unmarshal(answer.Body.Bytes(), &fenced)
		return errors.Join(err, &endpoint.Error{Kind: endpoint.KindFenced, Op: path, Epoch: fenced.Epoch})
	case endpoint.StatusNotAttached:
		return &endpoint.Error{Kind: endpoint.KindNotAttached, Op: path}
	case http.StatusServiceUnavailable:
		return &endpoint.Error{Kind: endpoint.KindUnreachable, Op: path}
	}
	return &endpoint.Error{Kind: endpoint.KindRefused, Op: path}
}

// Attach implements EndpointClient.
func (e *testEndpoint) Attach(ctx context.Context, r *endpoint.AttachRequest) (*endpoint.AttachResponse, error) {
	return call[endpoint.AttachResponse](ctx, e, endpoint.PathAttach, r)
}

// Heartbeat implements EndpointClient.
func (e *testEndpoint) Heartbeat(ctx context.Context, r *endpoint.HeartbeatRequest) (*endpoint.HeartbeatResponse, error) {
	return call[endpoint.HeartbeatResponse](ctx, e, endpoint.PathHeartbeat, r)
}

// Start implements EndpointClient.
func (e *testEndpoint) Start(ctx context.Context, r *endpoint.StartRequest) (*endpoint.StartResponse, error) {
	return call[endpoint.StartResponse](ctx, e, endpoint.PathStart, r)
}

// Stop implements EndpointClient.
func (e *testEndpoint) Stop(ctx context.Context, r *endpoint.StopRequest) (*endpoint.StopResponse, error) {
	return call[endpoint.StopResponse](ctx, e, endpoint.PathStop, r)
}

// Events implements EndpointClient.
func (e *testEndpoint) Events(ctx context.Context, r *endpoint.EventsRequest) (*endpoint.EventsResponse, error) {
	return call[endpoint.EventsResponse](ctx, e, endpoint.PathEvents, r)
}

// Ack implements EndpointClient.
func (e *testEndpoint) Ack(ctx context.Context, r *endpoint.AckRequest) error {
	_, err := call[struct{}](ctx, e, endpoint.PathAck, r)
	return err
}

// eventLog collects the events that a history writer writes.
type eventLog struct {
	mu     sync.Mutex
	events []history.Event
}

// Write implements io.Writer.
func (l *eventLog) Write(line []byte) (int, error) {
	var e history.Event
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	return len(line), nil
}

// all returns a copy of the events.
func (l *eventLog) all() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]history.Event(nil), l.events...)
}
