package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxOrderDelay is how long after it was given up an order without an answer may still
	// be carried out.
	maxOrderDelay = 20 * time.Second
	// lateStartHoldRetry is holdRetry for an endpoint that may carry out a start late: it
	// may be back as a life that knows no stop.
	lateStartHoldRetry = 100 * time.Millisecond
)

// lateStartPrefix is the key prefix of the records of late starts.
const lateStartPrefix = "l/"

// lateStarts holds the starts that got no answer, by the id of their endpoint. Each may still
// be carried out there, in whatever life the endpoint is then: an order names it by its id
// alone, and a new life knows no stop of the one before. They are recorded, so that the next
// holder has their tasks wait as well; a life that has seen its epoch refuses them.
type lateStarts map[string]endpointStarts

// endpointStarts holds the late starts on one endpoint by task.
type endpointStarts map[workload.TaskID]lateStart

// lateStart is the highest run number of a task that may start late.
type lateStart struct {
	number int
	until  time.Duration
}

// maxLateStarts bounds the starts that are remembered for an endpoint.
const maxLateStarts = 1000

// noteLateStart records a start without an answer.
func (c *Core) noteLateStart(now clock.Instant, endpoint string, key fleet.Key) {
	starts := c.lateStarts[endpoint]
	if starts == nil {
		starts = make(endpointStarts)
		c.lateStarts[endpoint] = starts
	}
	before, known := starts[key.Task]
	if !known && len(starts) >= maxLateStarts {
		c.log.Warn("start may be carried out late and isn't remembered, there are too many", "task", key.Task, "run", key.Number, "endpoint", endpoint)
		return
	}
	starts[key.Task] = lateStart{number: max(key.Number, before.number), until: now.Steady + maxOrderDelay}
	c.batch.lateStarts[endpoint] = true
}

// forgetLateStarts drops the starts that can't be carried out any more.
func (c *Core) forgetLateStarts(now clock.Instant) {
	for endpoint, starts := range c.lateStarts {
		for task, s := range starts {
			if now.Steady > s.until {
				delete(starts, task)
				c.batch.lateStarts[endpoint] = true
			}
		}
		if len(starts) == 0 {
			delete(c.lateStarts, endpoint)
		}
	}
}

// appendLateStarts adds the records of late starts that have changed to a batch.
func (c *Core) appendLateStarts(b *Batch) {
	for _, endpoint := range slices.Sorted(maps.Keys(b.lateStarts)) {
		numbers := make(map[string]int)
		for task, s := range c.lateStarts[endpoint] {
			numbers[task.String()] = s.number
		}
		record := keyedlog.Record{Key: lateStartPrefix + endpoint}
		if len(numbers) > 0 {
			value, err := cbor.Marshal(numbers)
			if err != nil {
				// Encoding can't fail, as in appendRecord.
				c.log.Error("can't encode the record of late starts, it is not written", "endpoint", endpoint, "error", err)
				continue
			}
			record.Value = value
		}
		b.Records = append(b.Records, record)
	}
}

// restoreLateStarts loads the late starts that earlier terms recorded for an endpoint.
func (c *Core) restoreLateStarts(now clock.Instant, endpoint string, value []byte) {
	var numbers map[string]int
	if err := cbor.Unmarshal(value, &numbers); err != nil {
		c.log.Error("can't decode the record of late starts", "endpoint", endpoint, "error", err)
		return
	}
	for text, number := range numbers {
		if task, ok := workload.ParseTaskID(text); ok {
			c.noteLateStart(now, endpoint, fleet.Key{Task: task, Number: number})
		}
	}
}

// bar is a stop by which a new life of an endpoint is told to refuse a run. A report that is
// asked for after confirmedAt shows whether the run had begun there before.
type bar struct {
	inFlight    bool
	retryAt     time.Duration
	confirmedAt time.Duration
}

// barLateStarts has a new life of an endpoint refuse the starts that were meant for those
// before. It is not used until it has confirmed that and reported what had begun by then.
func (c *Core) barLateStarts(now clock.Instant, e *fleet.Endpoint) {
	es := c.endpointStateOf(e)
	for task, s := range c.lateStarts[e.ID] {
		if now.Steady > s.until {
			continue
		}
		if es.bars == nil {
			es.bars = make(map[fleet.Key]*bar)
		}
		es.bars[fleet.Key{Task: task, Number: s.number}] = &bar{}
	}
	if len(es.bars) > 0 {
		c.log.Info("new incarnation is told to refuse starts for the former ones", "endpoint", e.ID, "incarnation", e.Incarnation, "starts", len(es.bars))
		c.sendBars(now, e, es)
	}
}

// sendBars emits the stops that are due, and drops those of starts that can't be carried out
// any more: an endpoint that refuses stops is used again then.
func (c *Core) sendBars(now clock.Instant, e *fleet.Endpoint, es *endpointState) {
	keys := slices.SortedFunc(maps.Keys(es.bars), func(a, b fleet.Key) int {
		return cmp.Or(strings.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Number, b.Number))
	})
	for _, key := range keys {
		if c.lateStarts[e.ID][key.Task].number < key.Number {
			delete(es.bars, key)
			c.planDue = true
			continue
		}
		if b := es.bars[key]; !b.inFlight && b.confirmedAt == 0 && now.Steady >= b.retryAt {
			b.inFlight = true
			c.stats.Stops++
			c.emit(&StopOrder{Target: targetOf(e), Key: key})
		}
	}
}

// barAnswered handles the result of a stop that may be one of an endpoint's bars.
func (c *Core) barAnswered(now clock.Instant, e *fleet.Endpoint, key fleet.Key, out Outcome) {
	b := c.endpointStateOf(e).bars[key]
	if b == nil || b.confirmedAt > 0 {
		return
	}
	if out.Fate != FateDone {
		b.inFlight, b.retryAt = false, now.Steady+stopRetry
		return
	}
	b.confirmedAt = now.Steady
	c.requestReport(e, now.Steady)
}

// dropReportedBars drops the bars that were confirmed before a report was asked for.
func (c *Core) dropReportedBars(es *endpointState, asked time.Duration) {
	for key, b := range es.bars {
		if b.confirmedAt > 0 && b.confirmedAt <= asked {
			delete(es.bars, key)
			c.planDue = true
		}
	}
}

// startsInDoubt returns the late starts on endpoints of which it isn't known whether they are
// still in the life that has barred them: each may begin there at any time.
func (c *Core) startsInDoubt() []endpointStarts {
	var doubt []endpointStarts
	for id, starts := range c.lateStarts {
		if e := c.fleet.Endpoint(id); e != nil && (e.Failures > 0 || !e.Adopted || len(c.endpointStateOf(e).bars) > 0) {
			doubt = append(doubt, starts)
		}
	}
	return doubt
}

// withoutLateStarts returns those of a step's waiting tasks of which no start is in doubt. The
// others wait, as they would run twice.
func (c *Core) withoutLateStarts(now clock.Instant, s *workload.StepRun, tasks []int, doubt []endpointStarts) []int {
	if len(doubt) == 0 {
		return tasks
	}
	left := make([]int, 0, len(tasks))
	for _, i := range tasks {
		if !slices.ContainsFunc(doubt, func(starts endpointStarts) bool {
			late, known := starts[s.ID(i)]
			return known && now.Steady <= late.until
		}) {
			left = append(left, i)
		}
	}
	c.deferred = c.deferred || len(left) < len(tasks)
	if s.Spec.Gang && len(left) < len(tasks) {
		return nil
	}
	return left
}

// chargeUnwanted charges an endpoint with a run that it reports and that was given up. The
// run's task starts nowhere else until it has ended, and is done if it ends so. It returns
// nil if the task needs no run.
func (c *Core) chargeUnwanted(now clock.Instant, e *fleet.Endpoint, key fleet.Key) *fleet.Run {
	entry := c.jobs[key.Task.Job]
	if entry == nil || entry.job.Final() || c.fleet.Find(key) != nil {
		return nil
	}
	s := entry.job.LiveStep(key.Task)
	if s == nil || s.Done() || s.TaskDone(key.Task.Index) {
		return nil
	}
	s.ResumeRun(key.Task.Index, key.Number, e.ID, e.Incarnation)
	c.batch.addProgress(entry)
	r := &fleet.Run{
		Key:       key,
		Step:      s,
		Customer:  entry.job.Customer,
		Queue:     entry.job.Queue,
		Priority:  priorityOf(c.catalog.Queue(entry.job.Queue)),
		Size:      s.Spec.Size,
		Charge:    s.Spec.Charge(),
		Phase:     fleet.PhaseRunning,
		OrderedAt: now.Steady,
		Pace:      fullPace,
	}
	e.Add(r)
	if se := c.steps[s]; se != nil {
		se.waitingStale = true
	}
	return r
}
