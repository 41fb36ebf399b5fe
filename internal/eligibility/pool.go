// Package eligibility spreads questions about eligible endpoints over the
// instances of the cell, as the service that answers them works on one call of
// each instance at a time.
package eligibility

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

const (
	// answerAllowance is how long a question may take beyond the service's own
	// work: ways over regions, and a busy instance.
	answerAllowance = 600 * time.Millisecond
	// laneRest is how long a lane is not used after a failure.
	laneRest = time.Second
	// maxAttempts bounds the lanes that one question is tried on.
	maxAttempts = 3
	// urgentDepth is how many urgent questions may be under way in a lane:
	// they are short, so that the ways there and back would idle the service.
	urgentDepth = 3
	// singleCost is the work that a grouped lane may have under way before a
	// call by itself is preferred: two urgent questions.
	singleCost = 20 * time.Millisecond
)

// Asker puts one question to the service.
type Asker interface {
	Ask(ctx context.Context, step string, endpoints []string) (controller.EligibilityAnswer, error)
}

// Instance is an instance through which questions can be put.
type Instance struct {
	// Name identifies the instance.
	Name  string
	Asker Asker
	// Local is set for this daemon's own lane, which is kept for urgent
	// questions while there are others.
	Local bool
	// Batched, if set, reports whether questions go to the instance in groups
	// with other calls, which costs the holder less.
	Batched func() bool
}

// Pool puts each question through the lane that is free soonest. It is safe
// for concurrent use.
type Pool struct {
	now func() time.Duration

	mu     sync.Mutex
	lanes  map[string]*lane
	urgent []*waiter
	others []*waiter
}

type lane struct {
	Instance
	// busy is the work under way in the lane, long counts its questions that
	// are not urgent.
	busy  time.Duration
	depth int
	long  int
	rest  time.Duration
}

type waiter struct {
	ready chan *lane
	cost  time.Duration
	avoid map[string]bool
}

// NewPool returns a pool without lanes. now is a steady clock.
func NewPool(now func() time.Duration) *Pool {
	return &Pool{now: now, lanes: make(map[string]*lane)}
}

// SetInstances replaces the lanes; those that stay keep what is under way.
func (p *Pool) SetInstances(lanes []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*lane, len(lanes))
	for _, l := range lanes {
		if known := p.lanes[l.Name]; known != nil {
			known.Instance = l
			next[l.Name] = known
			continue
		}
		next[l.Name] = &lane{Instance: l}
	}
	p.lanes = next
	p.serve()
}

// Ask implements controller.Eligibility.
func (p *Pool) Ask(ctx context.Context, o *controller.AskOrder) (controller.EligibilityAnswer, error) {
	avoid := make(map[string]bool)
	var last error
	for range maxAttempts {
		l, err := p.acquire(ctx, o, avoid)
		if err != nil {
			if last != nil {
				err = last
			}
			return controller.EligibilityAnswer{}, err
		}
		answer, err := p.put(ctx, l, o)
		p.release(l, o, err)
		if err == nil {
			return answer, nil
		}
		avoid[l.Name] = true
		last = errors.WithMessagef(err, "through %s", l.Name)
	}
	return controller.EligibilityAnswer{}, last
}

// put puts a question through a lane.
func (p *Pool) put(ctx context.Context, l *lane, o *controller.AskOrder) (controller.EligibilityAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Cost+answerAllowance)
	defer cancel()
	return l.Asker.Ask(ctx, o.Step, o.Endpoints)
}

// acquire waits for a lane.
func (p *Pool) acquire(ctx context.Context, o *controller.AskOrder, avoid map[string]bool) (*lane, error) {
	p.mu.Lock()
	if l := p.choose(o.Urgent, avoid); l != nil {
		l.take(o.Urgent, o.Cost)
		p.mu.Unlock()
		return l, nil
	}
	w := &waiter{ready: make(chan *lane, 1), cost: o.Cost, avoid: avoid}
	if o.Urgent {
		p.urgent = append(p.urgent, w)
	} else {
		p.others = append(p.others, w)
	}
	p.mu.Unlock()
	select {
	case l := <-w.ready:
		return l, nil
	case <-ctx.Done():
		p.withdraw(w, o)
		return nil, ctx.Err()
	}
}

// withdraw takes a waiter back; a lane that it was given meanwhile is freed.
func (p *Pool) withdraw(w *waiter, o *controller.AskOrder) {
	p.mu.Lock()
	p.urgent = without(p.urgent, w)
	p.others = without(p.others, w)
	p.mu.Unlock()
	select {
	case l := <-w.ready:
		p.release(l, o, nil)
	default:
	}
}

func without(list []*waiter, w *waiter) []*waiter {
	for i := range list {
		if list[i] == w {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func (l *lane) take(urgent bool, cost time.Duration) {
	l.depth++
	l.busy += cost
	if !urgent {
		l.long++
	}
}

// release frees a lane and serves those who wait.
func (p *Pool) release(l *lane, o *controller.AskOrder, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.depth--
	l.busy -= o.Cost
	if !o.Urgent {
		l.long--
	}
	if err != nil {
		l.rest = p.now() + laneRest
		time.AfterFunc(laneRest, p.wake)
	}
	p.serve()
}

// wake serves those who wait once a lane has rested.
func (p *Pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serve()
}

// serve gives free lanes to waiters, urgent ones first.
func (p *Pool) serve() {
	p.urgent = p.serveList(p.urgent, true)
	p.others = p.serveList(p.others, false)
}

func (p *Pool) serveList(list []*waiter, urgent bool) []*waiter {
	for len(list) > 0 {
		w := list[0]
		l := p.choose(urgent, w.avoid)
		if l == nil {
			return list
		}
		l.take(urgent, w.cost)
		w.ready <- l
		list = list[1:]
	}
	return list
}

// choose returns the best lane that may take a question now, or nil. Lanes to
// avoid are used if there is no other.
func (p *Pool) choose(urgent bool, avoid map[string]bool) *lane {
	if l := p.best(urgent, avoid); l != nil || len(avoid) == 0 {
		return l
	}
	return p.best(urgent, nil)
}

func (p *Pool) best(urgent bool, avoid map[string]bool) *lane {
	now := p.now()
	var best *lane
	for _, l := range p.lanes {
		if now < l.rest || avoid[l.Name] || !p.fits(l, urgent) {
			continue
		}
		if best == nil || l.before(best) {
			best = l
		}
	}
	return best
}

// fits reports whether a lane may take a question now.
func (p *Pool) fits(l *lane, urgent bool) bool {
	if urgent {
		return l.long == 0 && l.depth < urgentDepth
	}
	return l.depth == 0 && (!l.Local || p.alone())
}

// alone reports whether only this daemon's own lane can be used.
func (p *Pool) alone() bool {
	now := p.now()
	for _, l := range p.lanes {
		if !l.Local && now >= l.rest {
			return false
		}
	}
	return true
}

// load is the work under way in a lane, with what a call by itself costs.
func (l *lane) load() time.Duration {
	if l.Batched != nil && l.Batched() {
		return l.busy
	}
	return l.busy + singleCost
}

// before orders lanes by the work under way; the own lane has the shortest
// way.
func (l *lane) before(o *lane) bool {
	if a, b := l.load(), o.load(); a != b {
		return a < b
	}
	if l.Local != o.Local {
		return l.Local
	}
	return l.Name < o.Name
}
