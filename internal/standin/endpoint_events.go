package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// maxPollBytes bounds the data of one poll, except that a poll always returns
// at least one event.
const maxPollBytes = 4 << 20

// eventLog keeps events until their task is acknowledged.
type eventLog struct {
	// events are in the order of Seq.
	events []endpoint.Event
	last   uint64
	// changed is closed and replaced by each change that a poll waits for.
	changed chan struct{}
}

func newEventLog() eventLog { return eventLog{changed: make(chan struct{})} }

// add appends an event under the next sequence number.
func (l *eventLog) add(event endpoint.Event) {
	l.last++
	event.Seq = l.last
	l.events = append(l.events, event)
}

// wake makes all waiting polls look again.
func (l *eventLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns events above seq up to maxPollBytes of data.
func (l *eventLog) after(seq uint64) []endpoint.Event {
	start, _ := slices.BinarySearchFunc(l.events, seq+1, func(e endpoint.Event, s uint64) int {
		return cmp.Compare(e.Seq, s)
	})
	size := 0
	for i, event := range l.events[start:] {
		size += len(event.Data)
		if i > 0 && size > maxPollBytes {
			return slices.Clone(l.events[start : start+i])
		}
	}
	return slices.Clone(l.events[start:])
}

// forget drops the events of a task.
func (l *eventLog) forget(id string) {
	l.events = slices.DeleteFunc(l.events, func(e endpoint.Event) bool { return e.ID == id })
}

// cut returns the parts of an output as events; an empty output is one part.
// Parts are larger than asked for where there would be too many.
func (e *Endpoint) cut(t *task, output []byte, now time.Time) []endpoint.Event {
	size := max(int(e.knobs.partBytes.Load()), 1, len(output)/endpoint.MaxParts+1)
	parts := max((len(output)+size-1)/size, 1)
	events := make([]endpoint.Event, 0, parts)
	for i := range parts {
		events = append(events, endpoint.Event{
			ID:    t.spec.ID,
			State: endpoint.TaskDone,
			Part:  i,
			Parts: parts,
			Data:  output[i*size : min((i+1)*size, len(output))],
			RanMS: now.Sub(t.started).Milliseconds(),
		})
	}
	return events
}

// publishLocked makes events available to polls. By switch, every other one
// becomes available only later.
func (e *Endpoint) publishLocked(events []endpoint.Event) {
	if e.knobs.shuffleParts.Load() {
		e.shuffleLocked(events)
	}
	late := e.knobs.lateParts.get()
	var held []endpoint.Event
	for i, event := range events {
		if late > 0 && i%2 == 0 {
			held = append(held, event)
			continue
		}
		e.events.add(event)
	}
	e.events.wake()
	if len(held) > 0 && !e.gone {
		e.tomb.Go(func() error { return e.publishLate(held, late) })
	}
}

// publishLate makes events available after a delay, unless their task was
// acknowledged or the endpoint ended.
func (e *Endpoint) publishLate(events []endpoint.Event, delay time.Duration) error {
	sleep(e.ctx, delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		if _, known := e.tasks[event.ID]; known {
			e.events.add(event)
		}
	}
	e.events.wake()
	return nil
}

func (e *Endpoint) shuffleLocked(events []endpoint.Event) {
	e.rand.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
}

// pollLocked returns the answer to a poll.
func (e *Endpoint) pollLocked(after uint64) *endpoint.EventsResponse {
	resp := &endpoint.EventsResponse{Incarnation: e.incarnation, Events: e.events.after(after), Next: after}
	if n := len(resp.Events); n > 0 {
		resp.Next = resp.Events[n-1].Seq
	}
	if e.knobs.duplicateParts.Load() {
		resp.Events = append(resp.Events, resp.Events...)
	}
	if e.knobs.shuffleParts.Load() {
		e.shuffleLocked(resp.Events)
	}
	return resp
}

// endedTasks remembers the ids of tasks that must not start (again): those
// acknowledged and those barred. The oldest are dropped beyond a limit.
type endedTasks struct {
	limit int
	order []string
	ended map[string]endedTask
}

// endedTask is what became of an id; barred ids never ran.
type endedTask struct {
	state  endpoint.TaskState
	barred bool
}

func newEndedTasks(limit int) *endedTasks {
	return &endedTasks{limit: limit, ended: make(map[string]endedTask)}
}

func (s *endedTasks) put(id string, ended endedTask) {
	if _, known := s.ended[id]; !known {
		s.order = append(s.order, id)
	}
	s.ended[id] = ended
	if len(s.order) > s.limit {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *endedTasks) get(id string) (endedTask, bool) {
	ended, known := s.ended[id]
	return ended, known
}

// barred reports whether id was stopped before it could start.
func (s *endedTasks) barred(id string) bool { return s.ended[id].barred }

// usageHistory keeps samples of usage so that old ones can be reported.
type usageHistory struct{ samples []usageSample }

type usageSample struct {
	at    time.Time
	usage []endpoint.TaskUsage
}

// report adds a sample and returns the newest that is at least lag old.
func (h *usageHistory) report(sample usageSample, lag time.Duration) []endpoint.TaskUsage {
	h.samples = append(h.samples, sample)
	limit := sample.at.Add(-lag)
	newest := -1
	for i, s := range h.samples {
		if s.at.After(limit) {
			break
		}
		newest = i
	}
	if newest < 0 {
		return nil
	}
	h.samples = h.samples[newest:]
	return h.samples[0].usage
}
