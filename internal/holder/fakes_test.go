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

// memoryLog is the platform's log without sockets.
type memoryLog struct {
	*standin.Log
	mu sync.Mutex
	// fate decides what becomes of an append; nil appends and answers.
	fate func(e *record.Envelope) appendFate
	down bool
}

// appendFate is what becomes of one append.
type appendFate int

const (
	fateAnswered appendFate = iota
	// fateRefused has no effect and says so.
	fateRefused
	// fateAnswerLost takes effect, but nobody hears of it from the log.
	fateAnswerLost
)

// newMemoryLog returns an empty log.
func newMemoryLog() *memoryLog { return &memoryLog{Log: standin.NewLog(standin.LogOptions{})} }

// setFate replaces the rule for appends.
func (l *memoryLog) setFate(f func(e *record.Envelope) appendFate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fate = f
}

// setDown makes the log refuse every call.
func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// fateOf decides about an append.
func (l *memoryLog) fateOf(data []byte) appendFate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return fateRefused
	}
	if l.fate == nil {
		return fateAnswered
	}
	e, err := record.Decode(data)
	if err != nil {
		return fateAnswered
	}
	return l.fate(e)
}

// Append implements loglist.Log.
func (l *memoryLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	fate := l.fateOf(data)
	if fate == fateRefused {
		return 0, &loglist.Error{Kind: loglist.KindUnavailable, Op: "append"}
	}
	offset := l.Log.Append(id, data)
	if fate == fateAnswerLost {
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

// fixedList is the platform's list of instances.
type fixedList []loglist.Instance

// Instances implements loglist.Lister.
func (l fixedList) Instances(context.Context, loglist.Filter) (*loglist.InstanceList, error) {
	return &loglist.InstanceList{Instances: l, AsOf: time.Now()}, nil
}

// machine is the place of an endpoint, whose process may be replaced. It
// carries commands to the process without sockets, and may lose them.
type machine struct {
	options standin.EndpointOptions
	// alter changes commands and answers on their way, in mutants.
	alter atomic.Pointer[func(path string, request, response any)]

	mu      sync.Mutex
	process *standin.Endpoint
	// cut drops every command before its effect, cutPath those of one path.
	cut     bool
	cutPath string
	// loseAnswers and repeatLate count the commands whose answers are lost,
	// and those that arrive a second time much later.
	loseAnswers int
	repeatLate  int
	late        sync.WaitGroup
}

// lateBy is how much later a repeated command arrives. It exceeds the lease.
const lateBy = 4 * time.Second

// newMachine starts an endpoint.
func newMachine(options standin.EndpointOptions) *machine {
	return &machine{options: options, process: standin.NewEndpoint(options)}
}

// restart kills the process and starts another one.
func (m *machine) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process.Kill()
	_ = m.process.Close()
	m.process = standin.NewEndpoint(m.options)
}

// close ends the process.
func (m *machine) close() {
	m.late.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Close()
}

// set changes the faults of the link.
func (m *machine) set(f func(m *machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

// takeFaults returns what happens to the next command.
func (m *machine) takeFaults(path string) (process *standin.Endpoint, cut, lose, repeat bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loseAnswers > 0 {
		m.loseAnswers--
		lose = true
	}
	if m.repeatLate > 0 {
		m.repeatLate--
		repeat = true
	}
	return m.process, m.cut || m.cutPath == path, lose, repeat
}

// call carries one command to the process and its answer back.
func call[Resp any](ctx context.Context, m *machine, path string, request any) (*Resp, error) {
	process, cut, lose, repeat := m.takeFaults(path)
	if cut {
		return nil, &endpoint.Error{Kind: endpoint.KindUnreachable, Op: path}
	}
	if alter := m.alter.Load(); alter != nil {
		(*alter)(path, request, nil)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if repeat {
		m.late.Go(func() {
			time.Sleep(lateBy)
			exchange(context.Background(), process, path, body)
		})
	}
	answer := exchange(ctx, process, path, body)
	if lose || ctx.Err() != nil {
		return nil, &endpoint.Error{Kind: endpoint.KindUnreachable, Op: path, MaybeDelivered: true}
	}
	response := new(Resp)
	if err := understand(path, answer, response); err != nil {
		return nil, err
	}
	if alter := m.alter.Load(); alter != nil {
		(*alter)(path, request, response)
	}
	return response, nil
}

// exchange hands a command to a process.
func exchange(ctx context.Context, process *standin.Endpoint, path string, body []byte) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	process.Handler().ServeHTTP(answer, request)
	return answer
}

// understand converts an answer as the client does.
func understand(path string, answer *httptest.ResponseRecorder, response any) error {
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
func (m *machine) Attach(ctx context.Context, r *endpoint.AttachRequest) (*endpoint.AttachResponse, error) {
	return call[endpoint.AttachResponse](ctx, m, endpoint.PathAttach, r)
}

// Heartbeat implements EndpointClient.
func (m *machine) Heartbeat(ctx context.Context, r *endpoint.HeartbeatRequest) (*endpoint.HeartbeatResponse, error) {
	return call[endpoint.HeartbeatResponse](ctx, m, endpoint.PathHeartbeat, r)
}

// Start implements EndpointClient.
func (m *machine) Start(ctx context.Context, r *endpoint.StartRequest) (*endpoint.StartResponse, error) {
	return call[endpoint.StartResponse](ctx, m, endpoint.PathStart, r)
}

// Stop implements EndpointClient.
func (m *machine) Stop(ctx context.Context, r *endpoint.StopRequest) (*endpoint.StopResponse, error) {
	return call[endpoint.StopResponse](ctx, m, endpoint.PathStop, r)
}

// Events implements EndpointClient.
func (m *machine) Events(ctx context.Context, r *endpoint.EventsRequest) (*endpoint.EventsResponse, error) {
	return call[endpoint.EventsResponse](ctx, m, endpoint.PathEvents, r)
}

// Ack implements EndpointClient.
func (m *machine) Ack(ctx context.Context, r *endpoint.AckRequest) error {
	_, err := call[struct{}](ctx, m, endpoint.PathAck, r)
	return err
}

// lines collects the events that a history writer writes.
type lines struct {
	mu     sync.Mutex
	events []history.Event
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	var e history.Event
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	return len(line), nil
}

// all returns what was written.
func (l *lines) all() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]history.Event(nil), l.events...)
}
