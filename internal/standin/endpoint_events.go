package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
)

// maxPollBytes limits the data that a poll returns. If there are events, a poll
// returns at least one, even if that is larger.
const maxPollBytes = 4 << 20

// eventLog holds the events of tasks that have not been acknowledged yet.
type eventLog struct {
	// events is sorted by Seq.
	events []endpoint.Event
	// last is the last sequence number that was assigned.
	last uint64
	// changed is closed and replaced at each change that polls wait for.
	changed chan struct{}
}

func newEventLog() eventLog { return eventLog{changed: make(chan struct{})} }

// add appends an event with the next sequence number.
func (l *eventLog) add(event endpoint.Event) {
	l.last++
	event.Seq = l.last
	l.events = append(l.events, event)
}

// wake makes all waiting polls check for events again.
func (l *eventLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns events with sequence numbers above seq, up to maxPollBytes of
// data.
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

// removeTask removes the events of a task.
func (l *eventLog) removeTask(id string) {
	l.events = slices.DeleteFunc(l.events, func(e endpoint.Event) bool { return e.ID == id })
}

// splitOutput returns the parts of an output as events. An empty output has one
// part. Parts are larger than the configured size if there would otherwise be
// more than endpoint.MaxParts.
func (e *Endpoint) splitOutput(t *task, output []byte, now time.Time) []endpoint.Event {
	size := max(int(e.switches.partBytes.Load()), 1, len(output)/endpoint.MaxParts+1)
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

// publishLocked makes events available to polls. The switch "shuffle_parts"
// changes their order, and "late_parts" delays every other event.
func (e *Endpoint) publishLocked(events []endpoint.Event) {
	if e.switches.shuffleParts.Load() {
		e.shuffleLocked(events)
	}
	late := e.switches.lateParts.get()
	var delayed []endpoint.Event
	for i, event := range events {
		if late > 0 && i%2 == 0 {
			delayed = append(delayed, event)
			continue
		}
		e.events.add(event)
	}
	e.events.wake()
	if len(delayed) > 0 && !e.closed {
		e.tomb.Go(func() error { return e.publishDelayed(delayed, late) })
	}
}

// publishDelayed makes events available after a delay. It drops those of tasks
// that have been acknowledged meanwhile. The end of the endpoint cuts the delay
// short.
func (e *Endpoint) publishDelayed(events []endpoint.Event, delay time.Duration) error {
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

// pollLocked returns the response to a poll for events above after.
func (e *Endpoint) pollLocked(after uint64) *endpoint.EventsResponse {
	resp := &endpoint.EventsResponse{Incarnation: e.incarnation, Events: e.events.after(after), Next: after}
	if n := len(resp.Events); n > 0 {
		resp.Next = resp.Events[n-1].Seq
	}
	if e.switches.duplicateParts.Load() {
		resp.Events = append(resp.Events, resp.Events...)
	}
	if e.switches.shuffleParts.Load() {
		e.shuffleLocked(resp.Events)
	}
	return resp
}

// endedTasks holds the ids of tasks that must not start or must not start again:
// acknowledged tasks, and barred ids, which were stopped before their start
// arrived. Above limit, the oldest ids are dropped.
type endedTasks struct {
	limit int
	order []string
	ended map[string]endedTask
}

// endedTask is the final state of a task. A barred id never ran.
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

// barred reports whether id was stopped before its start arrived.
func (s *endedTasks) barred(id string) bool { return s.ended[id].barred }

// usageHistory holds past samples of usage, so that usage can be reported with a
// lag.
type usageHistory struct{ samples []usageSample }

type usageSample struct {
	at    time.Time
	usage []endpoint.TaskUsage
}

// addAndReport adds a sample and returns the usage of the newest sample that is
// at least lag old, or nil if there is none.
func (h *usageHistory) addAndReport(sample usageSample, lag time.Duration) []endpoint.TaskUsage {
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
