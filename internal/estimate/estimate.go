// Package estimate corrects the run times that callers state for their tasks from those
// seen. It answers a load whose stated run times are off by large factors: latest starts
// and expected ends that rest on them put work in the wrong order. It performs no I/O and
// reads no clock.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorWeight is the weight, in outcomes, of the belief that stated run times are
	// right.
	priorWeight = 8
	// memory is the weight, in outcomes, at which earlier ones are forgotten as fast as
	// new ones come.
	memory = 400
	// maxCorrection bounds the factor between a stated and a corrected run time.
	maxCorrection = 20
	// outlierSpreads is how many standard deviations an outcome may be off; one that is
	// further off counts as one that far off. leastSpread is the least standard deviation
	// that this assumes.
	outlierSpreads = 3
	leastSpread    = 0.5
	// shortest and longest bound the run times that are considered, so that their
	// logarithms are finite.
	shortest = time.Millisecond
	longest  = 24 * time.Hour
)

// Expectation is the expected run time of a task.
type Expectation struct {
	// Typical is exceeded by about half of the tasks, High by about a sixth of them.
	Typical time.Duration
	High    time.Duration
}

// Key selects the work whose run times are learned together.
type Key struct {
	Queue    string
	Customer string
}

// Model holds what was learned of stated and actual run times. The logarithm of the actual
// run time is taken as a linear function of that of the stated one, by queue, plus a
// constant for each customer. The less the stated run times of a queue tell, the closer to
// the queue's typical run time are the corrected ones. It is not safe for concurrent use.
type Model struct {
	queues    map[string]*line
	customers map[Key]*offset
}

// NewModel returns a model that knows no outcome.
func NewModel() *Model {
	return &Model{queues: make(map[string]*line), customers: make(map[Key]*offset)}
}

// Observe records that a task ran for actual where its caller had stated stated. weight is
// the part of an independent outcome that it counts as: tasks of one step share a run time.
// An outcome without a stated run time tells nothing.
func (m *Model) Observe(k Key, stated, actual time.Duration, weight float64) {
	if stated <= 0 || actual <= 0 || !(weight > 0) {
		return
	}
	l, o := m.queues[k.Queue], m.customers[k]
	if l == nil {
		l = &line{}
		m.queues[k.Queue] = l
	}
	if o == nil {
		o = &offset{}
		m.customers[k] = o
	}
	x := logOf(stated)
	x, y := l.bound(x, boundCorrection(x, logOf(actual))-o.mean())
	before := l.at(x)
	l.add(x, y, min(weight, 1))
	o.add(y+o.mean()-before, min(weight, 1))
}

// Expect returns the expected run time of a task whose caller states stated. Where the caller
// states none, it is the usual one of the queue.
func (m *Model) Expect(k Key, stated time.Duration) Expectation {
	l := m.queues[k.Queue]
	if l == nil {
		return Expectation{Typical: stated, High: stated}
	}
	own := 0.0
	if o := m.customers[k]; o != nil {
		own = o.mean()
	}
	var y float64
	if stated > 0 {
		y = boundCorrection(logOf(stated), l.at(logOf(stated))+own)
	} else {
		y = l.y/l.weight + own
	}
	return Expectation{Typical: durationOf(y), High: durationOf(y + l.spread())}
}

// boundCorrection returns y, at most maxCorrection away from x.
func boundCorrection(x, y float64) float64 {
	return min(max(y, x-logMaxCorrection), x+logMaxCorrection)
}

var (
	logMaxCorrection = math.Log(maxCorrection)
	logLongest       = math.Log(float64(longest))
)

// Spread returns the standard deviation of the logarithm of the run times of a queue around
// what is expected; 0 if too few were seen to tell.
func (m *Model) Spread(queue string) float64 {
	if l := m.queues[queue]; l != nil && l.weight >= priorWeight {
		return l.spread()
	}
	return 0
}

// Summary tells what was learned of a queue.
type Summary struct {
	Queue string
	// Outcomes is the weight of what was seen, Factor the usual factor between actual and
	// stated run times, Slope how much of a difference between stated run times shows in
	// actual ones, and Spread that of Model.Spread.
	Outcomes, Factor, Slope, Spread float64
}

// Summaries returns what was learned of each queue, ordered by name.
func (m *Model) Summaries() []Summary {
	out := make([]Summary, 0, len(m.queues))
	for queue, l := range m.queues {
		out = append(out, Summary{Queue: queue, Outcomes: l.weight, Factor: math.Exp((l.y - l.x) / l.weight), Slope: l.slope(), Spread: l.spread()})
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

// Size returns how many queues, and customers of queues, the model has seen outcomes of.
func (m *Model) Size() (queues, customers int) { return len(m.queues), len(m.customers) }

// Retain forgets the queues and customers for which keep returns false.
func (m *Model) Retain(keep func(Key) bool) {
	for k := range m.customers {
		if !keep(k) {
			delete(m.customers, k)
		}
	}
	for queue := range m.queues {
		if !keep(Key{Queue: queue}) {
			delete(m.queues, queue)
		}
	}
}

// line is a linear regression of y on x with fading weights.
type line struct {
	weight, x, y, xx, xy, yy float64
}

func (l *line) add(x, y, weight float64) {
	fade := 1 - min(weight/memory, 1)
	l.weight = l.weight*fade + weight
	l.x = l.x*fade + weight*x
	l.y = l.y*fade + weight*y
	l.xx = l.xx*fade + weight*x*x
	l.xy = l.xy*fade + weight*x*y
	l.yy = l.yy*fade + weight*y*y
}

// bound returns an outcome drawn to within outlierSpreads of what was seen, so that no single
// one, as that of a stated run time that is wrong by orders of magnitude or of a stalled
// endpoint, turns the line.
func (l *line) bound(x, y float64) (boundX, boundY float64) {
	if l.weight < priorWeight {
		return x, y
	}
	meanX := l.x / l.weight
	far := outlierSpreads * max(math.Sqrt(max(l.xx/l.weight-meanX*meanX, 0)), leastSpread)
	x = min(max(x, meanX-far), meanX+far)
	expected, off := l.at(x), outlierSpreads*max(l.spread(), leastSpread)
	return x, min(max(y, expected-off), expected+off)
}

// slope returns how much of a difference between stated run times shows in the actual
// ones, from 0 to 1. The belief that all of it does counts as priorWeight outcomes.
func (l *line) slope() float64 {
	varX := l.xx/l.weight - l.x/l.weight*l.x/l.weight
	cov := l.xy/l.weight - l.x/l.weight*l.y/l.weight
	if varX < 1e-9 {
		return 1
	}
	fitted := cov / varX
	return min(max((l.weight*fitted+priorWeight)/(l.weight+priorWeight), 0), 1)
}

// at returns the expected y at x. The shift between stated and actual run times is believed
// to be 0 with priorWeight outcomes.
func (l *line) at(x float64) float64 {
	if l.weight <= 0 {
		return x
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	trust := l.weight / (l.weight + priorWeight)
	return meanX + trust*(meanY-meanX) + l.slope()*(x-meanX)
}

// spread returns the standard deviation of y around the line.
func (l *line) spread() float64 {
	if l.weight <= 0 {
		return 0
	}
	meanX, meanY, b := l.x/l.weight, l.y/l.weight, l.slope()
	varX := l.xx/l.weight - meanX*meanX
	varY := l.yy/l.weight - meanY*meanY
	cov := l.xy/l.weight - meanX*meanY
	return math.Sqrt(max(varY-2*b*cov+b*b*varX, 0))
}

// offset is the mean difference of a customer's run times from those of its queue.
type offset struct {
	weight, sum float64
}

func (o *offset) add(difference, weight float64) {
	fade := 1 - min(weight/memory, 1)
	o.weight = o.weight*fade + weight
	o.sum = o.sum*fade + weight*difference
}

// mean returns the difference, drawn towards 0 while few outcomes were seen.
func (o *offset) mean() float64 { return o.sum / (o.weight + priorWeight) }

func logOf(d time.Duration) float64 { return math.Log(float64(min(max(d, shortest), longest))) }

func durationOf(log float64) time.Duration {
	return min(max(time.Duration(math.Exp(min(log, logLongest))), shortest), longest)
}
