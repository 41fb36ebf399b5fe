package controller

import (
	"context"
	"sync"
)

// proofRequests lets all callers that need a proof that the term is current wait
// for the same one. The load: many queries for jobs that don't exist.
type proofRequests struct {
	mu sync.Mutex
	// wanted is set while a caller waits for a proof that has not begun.
	wanted bool
	// ended is closed at the end of the next proof; nil if nobody waits.
	ended chan struct{}
}

// next returns a channel that is closed at the end of the next proof.
func (p *proofRequests) next() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
	return p.ended
}

// request asks for a proof that begins from now on, and reports whether nobody had
// asked before.
func (p *proofRequests) request() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.wanted
	p.wanted = true
	return first
}

// requested reports whether a caller waits for a proof that has not begun.
func (p *proofRequests) requested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted
}

// begin notes that a proof begins.
func (p *proofRequests) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = false
}

// end wakes those who wait for a proof. Those who asked after it had begun ask again.
func (p *proofRequests) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		close(p.ended)
		p.ended = nil
	}
}

// ConfirmCurrent returns nil once the term is proven to have been current after
// the call began. Then no later term had begun by the time of the call, so that
// a job that is unknown here was not known to a later holder either.
func (c *Controller) ConfirmCurrent(ctx context.Context) error {
	since := c.clock.Now()
	for {
		ended := c.proofs.next()
		if c.termProof.ConfirmedAt() >= since {
			return nil
		}
		if c.proofs.request() {
			c.wake()
		}
		select {
		case <-ended:
		case <-c.tomb.Dying():
			return ErrTermEnded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
