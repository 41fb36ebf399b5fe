package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Cause tells why a client's connection or request was given up.
type Cause string

// Causes.
const (
	// CauseBytes: unfinished requests hold all that they may.
	CauseBytes Cause = "bytes"
	// CauseConnections: there are as many connections as there may be.
	CauseConnections Cause = "connections"
	// CauseAnswers: an answer was not read.
	CauseAnswers Cause = "answers"
	// CauseWork: all that may be worked on at once, or by one customer, is.
	CauseWork Cause = "work"
	// CauseLate: a body did not arrive in time.
	CauseLate Cause = "late"
	// CauseBroken: a body ended too early.
	CauseBroken Cause = "broken"
	// CauseStop: the process is being stopped.
	CauseStop Cause = "stop"
)

// Guard applies a Ledger to the connections of an http.Server.
type Guard struct {
	limits Limits
	report func(cause Cause, address, detail string)
	begin  time.Time

	mu     sync.Mutex
	ledger *Ledger
	conns  map[*entry]*Conn
	// given are the connections given up that are not reported yet.
	given []givenUp
}

// givenUp is a connection that was given up.
type givenUp struct {
	cause           Cause
	address, detail string
}

// unlock releases the lock and then reports what was given up: a report may wait for the
// reader of the log.
func (g *Guard) unlock() {
	given := g.given
	g.given = nil
	g.mu.Unlock()
	for _, u := range given {
		g.report(u.cause, u.address, u.detail)
	}
}

// NewGuard returns a guard. report is called for each connection that is given
// up; it must not block.
func NewGuard(l Limits, report func(cause Cause, address, detail string)) *Guard {
	return &Guard{limits: l, report: report, begin: time.Now().Add(-time.Second), ledger: NewLedger(l), conns: make(map[*entry]*Conn)}
}

// now is the time since the guard was made, never 0.
func (g *Guard) now() time.Duration { return time.Since(g.begin) }

// Attach makes the server tell the guard how far its requests have come. The
// server must serve a listener that Listener has wrapped.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*Conn)
		if !ok {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		switch state {
		case http.StateActive:
			guarded.scan = headerEnded
		case http.StateIdle:
			g.ledger.answered(guarded.entry, g.now())
			guarded.scan = beforeHeader
		case http.StateClosed, http.StateHijacked:
			g.forget(guarded)
		case http.StateNew:
		}
	}
}

// forget removes a connection from the ledger.
func (g *Guard) forget(c *Conn) {
	g.ledger.remove(c.entry)
	delete(g.conns, c.entry)
}

// answerPart is the part of an answer that a client must read in time.
const answerPart = 64 << 10

type connKey struct{}

// FromContext returns the connection of a request, or nil if it isn't guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Listener returns l with its connections guarded.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept accepts the next connection. If there is no room for it, another one
// is closed, or else this one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.take(c); guarded != nil {
			return guarded, nil
		}
		_ = c.Close()
	}
}

// take adds a connection; it returns nil if there is no room.
func (g *Guard) take(c net.Conn) *Conn {
	address, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		address = c.RemoteAddr().String()
	}
	g.mu.Lock()
	defer g.unlock()
	now := g.now()
	if g.ledger.full() {
		spare := g.ledger.spare(now)
		if spare == nil {
			g.given = append(g.given, givenUp{CauseConnections, address, "every connection is being worked on"})
			return nil
		}
		cause := CauseConnections
		if spare.phase == working {
			cause = CauseAnswers
		}
		g.close(spare, cause)
	}
	guarded := &Conn{Conn: c, guard: g, entry: g.ledger.add(address, now), address: address}
	g.conns[guarded.entry] = guarded
	return guarded
}

// close closes a connection that is given up.
func (g *Guard) close(e *entry, cause Cause) {
	c := g.conns[e]
	if e.phase != cut {
		g.given = append(g.given, givenUp{cause, c.address, ""})
	}
	g.forget(c)
	c.giveUp()
	_ = c.Close()
}

// Conn is a guarded connection.
type Conn struct {
	net.Conn
	guard *Guard
	entry *entry
	// address is the client's.
	address string
	// received is the number of bytes read.
	received atomic.Int64
	// cut, endWait and scan are guarded by the guard's lock. endWait, if set, ends a wait
	// of the request being received; scan follows its header.
	cut     bool
	endWait context.CancelFunc
	scan    headerScan
}

// Read reads, and charges what was read.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Add(int64(n))
		c.guard.charge(c, b[:n])
	}
	return n, err
}

// charge counts what was read and gives connections up while the account is
// overdrawn. A handler that reads their bodies sees a passed deadline, and
// can still refuse the request.
func (g *Guard) charge(c *Conn, data []byte) {
	g.mu.Lock()
	defer g.unlock()
	if c.entry.phase != working {
		header := c.scan.of(data)
		g.ledger.charge(c.entry, header, len(data)-header, g.now())
	}
	for e := g.ledger.overdrawn(); e != nil; e = g.ledger.overdrawn() {
		g.cutOff(e, CauseBytes)
	}
}

// cutOff gives an unfinished request up.
func (g *Guard) cutOff(e *entry, cause Cause) {
	g.ledger.giveUp(e)
	c := g.conns[e]
	g.given = append(g.given, givenUp{cause, c.address, ""})
	c.giveUp()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// giveUp ends what waits on behalf of the connection. The caller holds the guard's lock.
func (c *Conn) giveUp() {
	c.cut = true
	if c.endWait != nil {
		c.endWait()
	}
}

// untilGivenUp returns a context that ends also once the connection is given up. A
// connection has one such context at a time.
func (c *Conn) untilGivenUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.endWait = cancel
	if c.cut {
		cancel()
	}
	return ctx, cancel
}

// drainInterval is how often a draining guard looks for what to give up.
const drainInterval = 100 * time.Millisecond

// Drain gives up, until ctx is done, what would keep a server that shuts down for as long
// as clients like: answers that are not read, and after patience also requests that are
// not complete and connections on which none has begun.
func (g *Guard) Drain(ctx context.Context, patience time.Duration) {
	begun := time.Now()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		g.giveUpOpen(time.Since(begun) >= patience)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// giveUpOpen gives up answers that are not read and, if asked to, unfinished requests.
func (g *Guard) giveUpOpen(unfinished bool) {
	g.mu.Lock()
	defer g.unlock()
	now := g.now()
	for e := range g.conns {
		switch {
		case e.answerStalled(now):
			g.close(e, CauseAnswers)
		case unfinished && e.phase == receiving:
			g.cutOff(e, CauseStop)
		case unfinished && e.phase == idle:
			g.close(e, CauseStop)
		}
	}
}

// SetReadDeadline sets the deadline, unless the connection was given up.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.cut {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes an answer, each part of which the client must read in time.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+answerPart)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written >= len(b) {
			return written, err
		}
	}
}

func (c *Conn) writePart(b []byte) (int, error) {
	now := c.guard.now()
	c.guard.setWriting(c, now)
	defer c.guard.setWriting(c, 0)
	if err := c.SetWriteDeadline(c.guard.begin.Add(now + c.guard.limits.AnswerTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (g *Guard) setWriting(c *Conn, since time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.entry.writing = since
}

// CloseWrite ends the answers, so that the client reads the last one before the connection
// is closed.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Admitted notes that the header of the request that the connection carries has been
// read, and the request's customer, if that is known.
func (c *Conn) Admitted(customer string) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.scan = headerEnded
	c.guard.ledger.admit(c.entry, customer)
}

// Work notes that the request is complete and worked on from now until it is
// answered: it is not cut any more. It reports false if the request has to be
// refused.
func (c *Conn) Work() bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.ledger.work(c.entry)
}

// Cut reports whether the connection was given up.
func (c *Conn) Cut() bool {
	if c == nil {
		return false
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.cut
}

// Held returns the bytes charged and the number of connections.
func (g *Guard) Held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.bytes, len(g.ledger.entries)
}

// Serve limits of a server for few callers that the operators know: readiness
// checks and scrapers of metrics.
const (
	smallConnections = 48
	smallBytes       = 1 << 20
	smallHeader      = 8 << 10
	smallTimeout     = 3 * time.Second
	smallIdle        = 15 * time.Second
)

// NewSmallServer returns a server for few callers, and a function that wraps its
// listener. Its requests have no bodies worth reading and are answered at once.
func NewSmallServer(h http.Handler, report func(cause Cause, address, detail string)) (*http.Server, func(net.Listener) net.Listener) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: smallTimeout,
		ReadTimeout:       smallTimeout,
		IdleTimeout:       smallIdle,
		MaxHeaderBytes:    smallHeader,
	}
	g := NewGuard(Limits{Bytes: smallBytes, Connections: smallConnections, AnswerTimeout: smallTimeout}, report)
	g.Attach(s)
	return s, g.Listener
}
