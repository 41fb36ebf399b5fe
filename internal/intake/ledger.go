// Package intake bounds what clients that nobody controls can make a process
// hold. A Ledger counts connections and the bytes of unfinished requests and
// says which connection to give up; a Guard applies it to a listener and an
// http.Server. It answers the load of many clients whose bodies, headers or
// answers never end.
package intake

import "time"

// phase tells how far a connection's request has come.
type phase uint8

const (
	// idle: no byte of a request has arrived.
	idle phase = iota
	// receiving: the request has begun and is not complete.
	receiving
	// working: the request is being worked on. It is never cut.
	working
	// cut: given up, until its connection is closed.
	cut
)

const (
	// headerCost is how much memory a byte of a header may take once it has been
	// parsed into many short fields.
	headerCost = 16
	// stalledAnswer is how long a write of an answer must have been blocked for
	// the connection to count as one whose answers are not read.
	stalledAnswer = time.Second
	// freshTime is how long a new connection may take until its first request
	// begins before it counts as idle.
	freshTime = time.Second
)

// Limits bound what all clients together hold.
type Limits struct {
	// Bytes bounds what requests hold that are not complete. Bytes of headers
	// count for more.
	Bytes int64
	// Connections bounds the connections.
	Connections int
	// ShareWork bounds the requests of one customer that are worked on: there may be
	// as many as there are connections on which none is.
	ShareWork bool
	// AnswerTimeout bounds the time in which a client must read a part of its
	// answer.
	AnswerTimeout time.Duration
}

// party is whom a connection counts for: the customer of its last request, or the
// client's address until one was admitted and where customers need no key.
type party struct{ address, customer string }

// holding is what a party's connections hold together.
type holding struct {
	bytes       int64
	connections int
}

// entry is a connection in the ledger.
type entry struct {
	index   int
	party   party
	holding *holding
	phase   phase
	// since is when the phase began; a request that receives keeps the time at
	// which it began.
	since time.Duration
	bytes int64
	// used is set once a request has begun on the connection.
	used bool
	// workFor is the customer whose share of the work the request takes.
	workFor string
	// writing is since when a write has been under way; 0 if none is.
	writing time.Duration
}

// Ledger decides which connections are given up. It has no clock and does no
// I/O; it is not safe for concurrent use.
type Ledger struct {
	limits   Limits
	entries  []*entry
	holdings map[party]*holding
	// works counts the requests being worked on, by customer, and working all of them.
	works   map[string]int
	working int
	bytes   int64
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, holdings: make(map[party]*holding), works: make(map[string]int)}
}

// add adds a connection. The caller gives up what spare returns first.
func (l *Ledger) add(address string, now time.Duration) *entry {
	e := &entry{index: len(l.entries), since: now}
	l.entries = append(l.entries, e)
	l.assign(e, party{address: address})
	return e
}

// remove removes a connection; a second call has no effect.
func (l *Ledger) remove(e *entry) {
	if e.index < 0 {
		return
	}
	l.settle(e)
	l.leaveWork(e)
	l.leaveParty(e)
	last := len(l.entries) - 1
	l.entries[e.index] = l.entries[last]
	l.entries[e.index].index = e.index
	l.entries[last] = nil
	l.entries = l.entries[:last]
	e.index = -1
}

// assign moves a connection to a party.
func (l *Ledger) assign(e *entry, p party) {
	if e.holding != nil {
		if e.party == p {
			return
		}
		l.leaveParty(e)
	}
	h := l.holdings[p]
	if h == nil {
		h = new(holding)
		l.holdings[p] = h
	}
	e.party, e.holding = p, h
	h.connections++
	h.bytes += e.bytes
}

func (l *Ledger) leaveParty(e *entry) {
	e.holding.connections--
	e.holding.bytes -= e.bytes
	if e.holding.connections == 0 {
		delete(l.holdings, e.party)
	}
}

// charge counts bytes of a header and of a body that were read from a connection.
func (l *Ledger) charge(e *entry, header, body int, now time.Duration) {
	if e.index < 0 || e.phase == working || e.phase == cut {
		return
	}
	if e.phase == idle {
		e.since = e.requestBegin(now)
		e.phase, e.used = receiving, true
	}
	cost := int64(header)*headerCost + int64(body)
	e.bytes += cost
	e.holding.bytes += cost
	l.bytes += cost
}

// requestBegin returns when the request counts as begun whose first byte was read
// now. The first of a connection began with the connection, unless that was idle:
// a server under load reads late, and would otherwise give up whom it read first.
func (e *entry) requestBegin(now time.Duration) time.Duration {
	if e.used {
		return now
	}
	return max(e.since, now-freshTime)
}

// settle takes a connection's bytes off the account.
func (l *Ledger) settle(e *entry) {
	e.holding.bytes -= e.bytes
	l.bytes -= e.bytes
	e.bytes = 0
}

// admit notes the customer of a connection's request.
func (l *Ledger) admit(e *entry, customer string) {
	if e.index >= 0 && customer != "" {
		l.assign(e, party{customer: customer})
	}
}

// work notes that a request is being worked on, and reports false if it must
// not be: it was given up, or its customer has as many connections at work as
// are left for all.
func (l *Ledger) work(e *entry) bool {
	switch {
	case e.index < 0 || e.phase == cut:
		return false
	case e.phase == working:
		return true
	case l.limits.ShareWork && l.works[e.party.customer] >= l.limits.Connections-l.working:
		return false
	}
	l.settle(e)
	e.phase, e.workFor = working, e.party.customer
	l.works[e.workFor]++
	l.working++
	return true
}

func (l *Ledger) leaveWork(e *entry) {
	if e.phase != working {
		return
	}
	l.working--
	l.works[e.workFor]--
	if l.works[e.workFor] == 0 {
		delete(l.works, e.workFor)
	}
}

// answered notes that a request was answered; the connection is idle.
func (l *Ledger) answered(e *entry, now time.Duration) {
	if e.index < 0 || e.phase == cut {
		return
	}
	l.settle(e)
	l.leaveWork(e)
	e.phase, e.since = idle, now
}

// giveUp marks a connection as cut and takes its bytes off the account.
func (l *Ledger) giveUp(e *entry) {
	l.settle(e)
	l.leaveWork(e)
	e.phase = cut
}

// unadmitted returns what all clients hold together that were not admitted: a crowd
// without a key may have many addresses.
func (l *Ledger) unadmitted() holding {
	var all holding
	for p, h := range l.holdings {
		if p.customer == "" {
			all.bytes += h.bytes
			all.connections += h.connections
		}
	}
	return all
}

// overdrawn returns the connection to give up while the account is overdrawn: of the
// customer that holds most bytes, or of the clients that were not admitted and among
// them of the address that does, the one that has been unfinished longest.
func (l *Ledger) overdrawn() *entry {
	if l.bytes <= l.limits.Bytes {
		return nil
	}
	unadmitted := l.unadmitted()
	var found *entry
	var most int64
	for _, e := range l.entries {
		if e.phase != receiving || e.bytes == 0 {
			continue
		}
		group := e.holding.bytes
		if e.party.customer == "" {
			group = unadmitted.bytes
		}
		if found == nil || group > most || group == most && (e.holding.bytes > found.holding.bytes ||
			e.holding.bytes == found.holding.bytes && e.since < found.since) {
			found, most = e, group
		}
	}
	return found
}

// full reports whether no connection may be added.
func (l *Ledger) full() bool { return len(l.entries) >= l.limits.Connections }

// spare returns the connection to close so that another one can be added: one that
// was given up, else one of those who hold most connections, the longest idle one or
// else the longest unfinished one or one whose answers are not read. It returns nil if
// all are being worked on.
func (l *Ledger) spare(now time.Duration) *entry {
	unadmitted := l.unadmitted()
	var found *entry
	var best candidate
	for _, e := range l.entries {
		c := candidate{rank: e.rank(now), group: e.holding.connections, address: e.holding.connections, since: e.since}
		if e.party.customer == "" {
			c.group = unadmitted.connections
		}
		if c.rank > 0 && (found == nil || c.before(best)) {
			found, best = e, c
		}
	}
	return found
}

// candidate is a connection that may be closed for another one.
type candidate struct {
	rank int
	// group is the number of connections of the customer, or of all clients that were
	// not admitted. address is that of the customer or of the address.
	group, address int
	since          time.Duration
}

// before reports whether c is closed before o.
func (c candidate) before(o candidate) bool {
	switch {
	case (c.rank == byCut) != (o.rank == byCut):
		return c.rank == byCut
	case c.group != o.group:
		return c.group > o.group
	case c.rank != o.rank:
		return c.rank > o.rank
	case c.address != o.address:
		return c.address > o.address
	default:
		return c.since < o.since
	}
}

// Ranks of connections; the others are never closed for another one.
const (
	byUnfinished = 1 + iota
	byIdle
	byCut
)

// rank returns the rank of a connection.
func (e *entry) rank(now time.Duration) int {
	switch {
	case e.phase == cut:
		return byCut
	case e.phase == idle && (e.used || now-e.since >= freshTime):
		return byIdle
	case e.phase == idle:
		// Its request may be on its way.
		return byUnfinished
	case e.phase == receiving, e.answerStalled(now):
		return byUnfinished
	default:
		return 0
	}
}

// answerStalled reports whether the client doesn't read its answer.
func (e *entry) answerStalled(now time.Duration) bool {
	return e.writing > 0 && now-e.writing >= stalledAnswer
}
