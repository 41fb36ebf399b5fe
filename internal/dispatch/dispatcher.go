package dispatch

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// endpointsPerProcessor is how many endpoints one core of a daemon can
	// serve. Each costs about four exchanges a second of 0.3 ms, which leaves
	// most of the core to decisions and callers.
	endpointsPerProcessor = 160
	// senderBackoff is how long a sender gets no new session after one has
	// ended.
	senderBackoff = 2 * time.Second
	// maxQuestionTimeout bounds the timeout of a question. It applies alone if
	// the context has no deadline.
	maxQuestionTimeout = 5 * time.Second
)

// errSenderCutOff ends a session whose sender reaches no endpoint.
var errSenderCutOff = errors.New("no endpoint answers orders from this sender; trying another sender")

// Options configure a Dispatcher.
type Options struct {
	Epoch int64
	Self  leadership.Member
	Clock clock.Clock
	// Direct sends orders from this daemon.
	Direct controller.EndpointClient
	// Peer returns the client for a member.
	Peer   func(leadership.Member) Peer
	Logger *slog.Logger
}

// Dispatcher passes each order to the daemon that sends it. It is safe for
// concurrent use.
type Dispatcher struct {
	options Options
	tomb    *tomb.Tomb

	mu      sync.Mutex
	members []leadership.Member
	// zones is the availability zone of each listed endpoint. endpointsInZone
	// counts the endpoints by zone.
	zones           map[string]string
	endpointsInZone map[string]int
	// sessions and backoffUntil are keyed by the sender's name.
	sessions     map[string]*session
	backoffUntil map[string]time.Duration
	// routes is the session of each endpoint.
	routes map[string]*session
}

// New returns a Dispatcher whose sessions end when t dies.
func New(t *tomb.Tomb, o Options) *Dispatcher {
	return &Dispatcher{
		options:         o,
		tomb:            t,
		zones:           make(map[string]string),
		endpointsInZone: make(map[string]int),
		sessions:        make(map[string]*session),
		backoffUntil:    make(map[string]time.Duration),
		routes:          make(map[string]*session),
	}
}

// SetMembers sets the members of the cell. This daemon and members with far
// fewer processors than the strongest are not used as senders. The sessions of
// members that are no longer used end once their orders have results.
func (d *Dispatcher) SetMembers(members []leadership.Member) {
	fitness := leadership.FitnessAmong(members)
	strong := slices.DeleteFunc(slices.Clone(members), func(m leadership.Member) bool {
		return m.Name == d.options.Self.Name || fitness(m).Weak
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.sessions {
		if !slices.ContainsFunc(strong, func(m leadership.Member) bool { return m.Name == name }) {
			s.retire()
			d.removeSession(s)
		}
	}
	d.members = strong
}

// EndpointListed records an endpoint and its availability zone.
func (d *Dispatcher) EndpointListed(r fleet.Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.zones[r.ID]
	if known && before == r.AvailabilityZone {
		return
	}
	if known {
		d.endpointsInZone[before]--
	}
	d.zones[r.ID] = r.AvailabilityZone
	d.endpointsInZone[r.AvailabilityZone]++
	delete(d.routes, r.ID)
}

// EndpointUnlisted removes an endpoint.
func (d *Dispatcher) EndpointUnlisted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone, known := d.zones[id]; known {
		d.endpointsInZone[zone]--
		delete(d.zones, id)
		delete(d.routes, id)
	}
}

// route returns the session through which an endpoint gets its orders, or nil
// if this daemon sends them itself.
func (d *Dispatcher) route(endpoint string) *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(len(d.zones)) <= endpointsPerProcessor*d.options.Self.Processors {
		return nil
	}
	if s := d.routes[endpoint]; s != nil && s.acceptsOrders() {
		return s
	}
	m, ok := d.chooseSender(endpoint)
	if !ok {
		return nil
	}
	s := d.sessionWith(m)
	d.routes[endpoint] = s
	return s
}

// candidate is a daemon that may send to an endpoint. distance is 0 in the
// endpoint's availability zone, 1 in its region and 2 elsewhere.
type candidate struct {
	member   leadership.Member
	distance int
	// rank orders the daemons of a zone in the same way for all endpoints.
	rank uint64
}

// chooseSender returns the sender for an endpoint: a daemon in its availability
// zone, otherwise in its region, otherwise any. Only as many daemons of a zone
// are used as its endpoints need, because orders in large batches cost less.
func (d *Dispatcher) chooseSender(endpoint string) (leadership.Member, bool) {
	zone := d.zones[endpoint]
	candidates := d.nearestSenders(zone)
	if len(candidates) == 0 {
		return leadership.Member{}, false
	}
	wanted := len(candidates)
	// The endpoints of a zone without a sender are spread over all candidates.
	if candidates[0].distance == 0 {
		capacity := max(endpointsPerProcessor*candidates[0].member.Processors, 1)
		wanted = min(wanted, 1+int(float64(d.endpointsInZone[zone])/capacity))
	}
	return candidates[xxhash.Sum64String(endpoint)%uint64(wanted)].member, true
}

// nearestSenders returns the candidates that are nearest to a zone, ordered by
// rank.
func (d *Dispatcher) nearestSenders(zone string) []candidate {
	d.dropClosedSessions()
	now := d.options.Clock.Now()
	region := d.regionOf(zone)
	var all []candidate
	for _, m := range d.members {
		if now < d.backoffUntil[m.Name] {
			continue
		}
		c := candidate{member: m, distance: 2, rank: xxhash.Sum64String(m.Name)}
		switch {
		case m.AvailabilityZone == zone:
			c.distance = 0
		case m.Region == region:
			c.distance = 1
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.rank, b.rank))
	})
	end := slices.IndexFunc(all, func(c candidate) bool { return c.distance > all[0].distance })
	if end < 0 {
		end = len(all)
	}
	return all[:end]
}

// dropClosedSessions drops the sessions that accept no more orders. Their
// senders get no new session for senderBackoff.
func (d *Dispatcher) dropClosedSessions() {
	for name, s := range d.sessions {
		if !s.acceptsOrders() {
			d.removeSession(s)
			d.backoffUntil[name] = d.options.Clock.Now() + senderBackoff
		}
	}
}

// regionOf returns the region of an availability zone according to the daemons
// in it, or an empty string if there are none.
func (d *Dispatcher) regionOf(zone string) string {
	for _, m := range d.members {
		if m.AvailabilityZone == zone {
			return m.Region
		}
	}
	if d.options.Self.AvailabilityZone == zone {
		return d.options.Self.Region
	}
	return ""
}

// sessionWith returns the session with a sender and starts one if necessary.
func (d *Dispatcher) sessionWith(m leadership.Member) *session {
	s := d.sessions[m.Name]
	if s == nil {
		s = newSession(m.Name, d.options.Peer(m), d.options.Epoch, d.options.Clock, d.options.Logger)
		d.sessions[m.Name] = s
		d.tomb.Go(func() error {
			s.run(d.tomb)
			return nil
		})
	}
	return s
}

// removeSession removes a session and its routes. A session that is leaving
// continues until its orders have results.
func (d *Dispatcher) removeSession(s *session) {
	delete(d.sessions, s.name)
	for id, r := range d.routes {
		if r == s {
			delete(d.routes, id)
		}
	}
}

// Start implements controller.EndpointClient.
func (d *Dispatcher) Start(ctx context.Context, epoch int64, o *controller.StartOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.submit(ctx, Order{Start: o}, 0).Outcome
	}
	return d.options.Direct.Start(ctx, epoch, o)
}

// Stop implements controller.EndpointClient.
func (d *Dispatcher) Stop(ctx context.Context, epoch int64, o *controller.StopOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.submit(ctx, Order{Stop: o}, 0).Outcome
	}
	return d.options.Direct.Stop(ctx, epoch, o)
}

// Pace implements controller.EndpointClient.
func (d *Dispatcher) Pace(ctx context.Context, epoch int64, o *controller.PaceOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.submit(ctx, Order{Pace: o}, 0).Outcome
	}
	return d.options.Direct.Pace(ctx, epoch, o)
}

// Hold implements controller.EndpointClient.
func (d *Dispatcher) Hold(ctx context.Context, epoch int64, o *controller.HoldOrder) (controller.Report, controller.Outcome) {
	if s := d.route(o.Target.ID); s != nil {
		r := s.submit(ctx, Order{Hold: o}, o.Wait)
		return r.Report, r.Outcome
	}
	return d.options.Direct.Hold(ctx, epoch, o)
}

// HasOpenSession reports whether the named daemon has an open session that
// accepts orders.
func (d *Dispatcher) HasOpenSession(name string) bool {
	d.mu.Lock()
	s := d.sessions[name]
	d.mu.Unlock()
	return s != nil && s.isOpen()
}

// Ask asks a question through the session of the named daemon; ok is false if
// it has no open session.
func (d *Dispatcher) Ask(ctx context.Context, name, step string, endpoints []string) (answer controller.EligibilityAnswer, ok bool, err error) {
	d.mu.Lock()
	s := d.sessions[name]
	d.mu.Unlock()
	if s == nil || !s.isOpen() {
		return controller.EligibilityAnswer{}, false, nil
	}
	wait := maxQuestionTimeout
	if until, bounded := ctx.Deadline(); bounded {
		wait = min(wait, time.Until(until))
	}
	r := s.submit(ctx, Order{Ask: &Question{Step: step, Endpoints: endpoints, Wait: wait}}, wait)
	if r.Outcome.Fate != controller.FateDone {
		return controller.EligibilityAnswer{}, true, errors.Errorf("the question through sender %s was not answered: %s", name, r.Outcome.Detail)
	}
	return r.Answer, true, nil
}
