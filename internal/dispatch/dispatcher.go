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
	// endpointsPerProcessor is how many endpoints a daemon's core can serve by
	// itself: each costs about four exchanges a second, of 0.3 ms, which leaves
	// most of the core to decisions and callers.
	endpointsPerProcessor = 160
	// senderRest is how long a sender gets no session after one has ended.
	senderRest = 2 * time.Second
	// longestQuestion bounds how long a question may take that has no bound of
	// its own.
	longestQuestion = 5 * time.Second
)

// errCutOff ends a session whose sender reaches no endpoint.
var errCutOff = errors.New("its orders get no answer from any endpoint; another sender is tried")

// Options are what a dispatcher works with.
type Options struct {
	Epoch int64
	Self  leadership.Member
	Clock clock.Clock
	// Direct sends orders from this daemon.
	Direct controller.EndpointClient
	// Peer returns the peer that a member is.
	Peer   func(leadership.Member) Peer
	Logger *slog.Logger
}

// Dispatcher gives each order to the daemon that sends it. It is safe for
// concurrent use.
type Dispatcher struct {
	options Options
	tomb    *tomb.Tomb

	mu      sync.Mutex
	members []leadership.Member
	// zones gives the availability zone of each listed endpoint, listed counts
	// them by zone.
	zones  map[string]string
	listed map[string]int
	// sessions and rest are by the sender's name.
	sessions map[string]*session
	rest     map[string]time.Duration
	// routes gives the session of each endpoint.
	routes map[string]*session
}

// New returns a dispatcher whose sessions end with t.
func New(t *tomb.Tomb, o Options) *Dispatcher {
	return &Dispatcher{
		options:  o,
		tomb:     t,
		zones:    make(map[string]string),
		listed:   make(map[string]int),
		sessions: make(map[string]*session),
		rest:     make(map[string]time.Duration),
		routes:   make(map[string]*session),
	}
}

// SetMembers says which daemons there are.
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
			d.forget(s)
		}
	}
	d.members = strong
}

// EndpointListed takes in where an endpoint is.
func (d *Dispatcher) EndpointListed(r fleet.Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.zones[r.ID]
	if known && before == r.AvailabilityZone {
		return
	}
	if known {
		d.listed[before]--
	}
	d.zones[r.ID] = r.AvailabilityZone
	d.listed[r.AvailabilityZone]++
	delete(d.routes, r.ID)
}

// EndpointUnlisted takes in that an endpoint has left.
func (d *Dispatcher) EndpointUnlisted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone, known := d.zones[id]; known {
		d.listed[zone]--
		delete(d.zones, id)
		delete(d.routes, id)
	}
}

// route returns the session through which an endpoint gets its orders, nil if
// this daemon sends them.
func (d *Dispatcher) route(endpoint string) *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(len(d.zones)) <= endpointsPerProcessor*d.options.Self.Processors {
		return nil
	}
	if s := d.routes[endpoint]; s != nil && s.takes() {
		return s
	}
	m, ok := d.choose(endpoint)
	if !ok {
		return nil
	}
	s := d.session(m)
	d.routes[endpoint] = s
	return s
}

// candidate is a daemon that may send to an endpoint. far is 0 in the endpoint's
// availability zone, 1 in its region, 2 elsewhere.
type candidate struct {
	member leadership.Member
	far    int
	// rank orders the daemons of a zone alike for all endpoints.
	rank uint64
}

// choose returns the sender for an endpoint: one in its availability zone, else
// in its region, else any. Of the daemons of a zone, only as many send as its
// endpoints need, as orders in large groups cost less.
func (d *Dispatcher) choose(endpoint string) (leadership.Member, bool) {
	zone := d.zones[endpoint]
	nearest := d.nearest(zone)
	if len(nearest) == 0 {
		return leadership.Member{}, false
	}
	wanted := len(nearest)
	// The endpoints of a zone without a sender are spread over all.
	if nearest[0].far == 0 {
		room := max(endpointsPerProcessor*nearest[0].member.Processors, 1)
		wanted = min(wanted, 1+int(float64(d.listed[zone])/room))
	}
	return nearest[xxhash.Sum64String(endpoint)%uint64(wanted)].member, true
}

// nearest returns the candidates that are nearest to a zone, in order of rank.
func (d *Dispatcher) nearest(zone string) []candidate {
	d.endSessions()
	now := d.options.Clock.Now()
	region := d.regionOf(zone)
	var all []candidate
	for _, m := range d.members {
		if now < d.rest[m.Name] {
			continue
		}
		c := candidate{member: m, far: 2, rank: xxhash.Sum64String(m.Name)}
		switch {
		case m.AvailabilityZone == zone:
			c.far = 0
		case m.Region == region:
			c.far = 1
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.rank, b.rank))
	})
	end := slices.IndexFunc(all, func(c candidate) bool { return c.far > all[0].far })
	if end < 0 {
		end = len(all)
	}
	return all[:end]
}

// endSessions drops the sessions that take no orders any more; their senders
// rest for a while.
func (d *Dispatcher) endSessions() {
	for name, s := range d.sessions {
		if !s.takes() {
			d.forget(s)
			d.rest[name] = d.options.Clock.Now() + senderRest
		}
	}
}

// regionOf returns the region of an availability zone as the daemons there say,
// empty if there are none.
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

// session returns the session with a sender, which may have to be opened.
func (d *Dispatcher) session(m leadership.Member) *session {
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

// forget drops a session from the books. One that leaves goes on until its
// orders have their results.
func (d *Dispatcher) forget(s *session) {
	delete(d.sessions, s.name)
	for id, r := range d.routes {
		if r == s {
			delete(d.routes, id)
		}
	}
}

// Start implements controller.Endpoints.
func (d *Dispatcher) Start(ctx context.Context, epoch int64, o *controller.StartOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.do(ctx, Order{Start: o}, 0).Outcome
	}
	return d.options.Direct.Start(ctx, epoch, o)
}

// Stop implements controller.Endpoints.
func (d *Dispatcher) Stop(ctx context.Context, epoch int64, o *controller.StopOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.do(ctx, Order{Stop: o}, 0).Outcome
	}
	return d.options.Direct.Stop(ctx, epoch, o)
}

// Pace implements controller.Endpoints.
func (d *Dispatcher) Pace(ctx context.Context, epoch int64, o *controller.PaceOrder) controller.Outcome {
	if s := d.route(o.Target.ID); s != nil {
		return s.do(ctx, Order{Pace: o}, 0).Outcome
	}
	return d.options.Direct.Pace(ctx, epoch, o)
}

// Hold implements controller.Endpoints.
func (d *Dispatcher) Hold(ctx context.Context, epoch int64, o *controller.HoldOrder) (controller.Report, controller.Outcome) {
	if s := d.route(o.Target.ID); s != nil {
		r := s.do(ctx, Order{Hold: o}, o.Wait)
		return r.Report, r.Outcome
	}
	return d.options.Direct.Hold(ctx, epoch, o)
}

// HasOpenSession reports whether a daemon sends orders in an open session.
func (d *Dispatcher) HasOpenSession(name string) bool {
	d.mu.Lock()
	s := d.sessions[name]
	d.mu.Unlock()
	return s != nil && s.isOpen()
}

// Ask puts a question through a daemon's session; ok is false if it has none.
func (d *Dispatcher) Ask(ctx context.Context, name, step string, endpoints []string) (answer controller.EligibilityAnswer, ok bool, err error) {
	d.mu.Lock()
	s := d.sessions[name]
	d.mu.Unlock()
	if s == nil || !s.isOpen() {
		return controller.EligibilityAnswer{}, false, nil
	}
	wait := longestQuestion
	if until, bounded := ctx.Deadline(); bounded {
		wait = min(wait, time.Until(until))
	}
	r := s.do(ctx, Order{Ask: &Question{Step: step, Endpoints: endpoints, Wait: wait}}, wait)
	if r.Outcome.Fate != controller.FateDone {
		return controller.EligibilityAnswer{}, true, errors.Errorf("the question through %s was not answered: %s", name, r.Outcome.Detail)
	}
	return r.Answer, true, nil
}
