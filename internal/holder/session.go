package holder

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// attachBackoffMin and attachBackoffMax bound the pause between attempts
	// to attach to an endpoint.
	attachBackoffMin = 50 * time.Millisecond
	attachBackoffMax = time.Second
	// silentGrace is how much longer than a poll waits an endpoint may be
	// silent before it is sent a heartbeat.
	silentGrace = time.Second
	// pollsPerLease is how many polls follow each other during one lease.
	pollsPerLease = 4
	// maxPollWait bounds the wait of a poll. It bounds how late an endpoint
	// that stopped without closing its connections is noticed.
	maxPollWait = 7500 * time.Millisecond
	// clockDrift is the rate by which two monotonic clocks may differ.
	clockDrift = 0.01
	// callTimeout bounds a command other than a poll.
	callTimeout = 2 * time.Second
	// proofInterval is how often a lapsed session looks for proof that this
	// daemon still holds the zone.
	proofInterval = 100 * time.Millisecond
)

// Reasons for which a connected phase of a session ends.
var (
	errSessionEnded = errors.New("the endpoint no longer knows the session; attach again")
	errRestarted    = errors.New("the endpoint has restarted; attach again")
	errLapsed       = errors.New("the lease has certainly lapsed")
)

// session is the holder's relation to one endpoint.
type session struct {
	term     *Term
	instance loglist.Instance
	client   EndpointClient

	// Guarded by the term's lock.
	id       string
	kind     endpoint.Kind
	rosterID string
	// adopted is the roster id of the last inventory taken in, which may not
	// stand in the roster yet; rosterID is empty until it does.
	adopted            string
	adoptedIncarnation string
	usable             bool
	// leaving is what the endpoint itself said last, listed what the list says.
	leaving bool
	listed  bool
	// resting is set for a while after the endpoint refused a task.
	resting bool
	units   map[string]*unit

	mu          sync.Mutex
	incarnation string
	number      uint64
	token       uint64
	tokenAt     time.Time
	starts      []endpoint.TaskSpec
	stops       map[endpoint.StopAction][]string
	acks        []string
	wake        chan struct{}
}

// newSession returns a session that has not attached yet.
func newSession(t *Term, instance loglist.Instance) *session {
	return &session{
		term:     t,
		instance: instance,
		client:   t.deps.Dial(instance.Address),
		id:       instance.ID,
		units:    make(map[string]*unit),
		stops:    make(map[endpoint.StopAction][]string),
		wake:     make(chan struct{}, 1),
	}
}

// run keeps the endpoint attached until the term ends or the endpoint is gone.
func (s *session) run() error {
	t := s.term
	backoff := attachBackoffMin
	for t.tomb.Alive() {
		response, err := s.attach()
		if err != nil {
			if epoch, fenced := endpoint.FencedBy(err); fenced {
				t.superseded(epoch)
				return nil
			}
			if s.forgetIfGone() {
				return nil
			}
			s.countLapse()
			t.pause(backoff)
			backoff = min(2*backoff, attachBackoffMax)
			continue
		}
		backoff = attachBackoffMin
		err = s.connected(response)
		if err != nil {
			t.log.Info("endpoint session ends", "endpoint", s.id, "reason", err)
		}
		t.setUsable(s, false)
		if errors.Is(err, errLapsed) {
			s.countLapse()
		}
	}
	return nil
}

// errOtherEndpoint refuses an endpoint that is not the listed one.
var errOtherEndpoint = errors.New("the endpoint gives another id or zone than the list; correct the list")

// attach asks the endpoint for its inventory under the term's epoch.
func (s *session) attach() (*endpoint.AttachResponse, error) {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.Attach(ctx, &endpoint.AttachRequest{
		AvailabilityZone: s.term.settings.AvailabilityZone,
		Holder:           s.term.settings.Holder,
		Epoch:            s.term.epoch,
		LeaseMS:          s.term.settings.Lease.Milliseconds(),
	})
	if err == nil && (response.Endpoint != s.id || response.AvailabilityZone != s.term.settings.AvailabilityZone) {
		s.term.log.Error("endpoint is not the listed one", "endpoint", s.id, "answers_as", response.Endpoint)
		return nil, errOtherEndpoint
	}
	return response, err
}

// connected adopts the inventory and runs the session's loops until one fails.
func (s *session) connected(response *endpoint.AttachResponse) error {
	s.begin(response)
	if err := s.beat(); err != nil {
		return err
	}
	s.term.adopt(s, response)
	loops := new(tomb.Tomb)
	loops.Go(func() error {
		loops.Go(func() error { return s.runWatch(loops) })
		loops.Go(func() error { return s.runEvents(loops) })
		loops.Go(func() error { return s.runSender(loops) })
		select {
		case <-s.term.tomb.Dying():
			loops.Kill(nil)
		case <-loops.Dying():
		}
		return nil
	})
	return loops.Wait()
}

// begin takes over the numbers of a new session. Starts of the ended one are
// dropped, since adoption decides about them; stops are still wanted.
func (s *session) begin(response *endpoint.AttachResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = response.Incarnation
	s.number = response.Session
	s.token = response.LeaseToken
	s.tokenAt = time.Now()
	s.starts = nil
}

// runWatch sends a heartbeat when polls have failed to bring word from the
// endpoint for a while, and ends the session when its lease has lapsed.
func (s *session) runWatch(loops *tomb.Tomb) error {
	ticker := time.NewTicker(s.term.settings.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-loops.Dying():
			return nil
		case <-ticker.C:
		}
		if s.lapsed() {
			return errLapsed
		}
		if s.silence() < s.pollWait()+silentGrace {
			continue
		}
		err := s.beat()
		if errors.Is(err, errSessionEnded) || errors.Is(err, errRestarted) {
			return err
		}
		s.term.setUsable(s, err == nil)
	}
}

// pollWait is how long a poll for events waits. Each renews the lease, so that
// several may fail before it lapses.
func (s *session) pollWait() time.Duration {
	return min(s.term.settings.Lease/pollsPerLease, maxPollWait)
}

// silence is how long ago the endpoint answered last.
func (s *session) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.tokenAt)
}

// beat sends one heartbeat.
func (s *session) beat() error {
	s.mu.Lock()
	request := &endpoint.HeartbeatRequest{
		Session:    s.number,
		Epoch:      s.term.epoch,
		LeaseToken: s.token,
		LeaseMS:    s.term.settings.Lease.Milliseconds(),
	}
	s.mu.Unlock()
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.Heartbeat(ctx, request)
	if err != nil {
		return s.commandError(err)
	}
	if response.Incarnation != s.incarnationNow() {
		return errRestarted
	}
	s.renew(response.LeaseToken)
	s.term.observeCondition(s, response.Leaving, response.Usage)
	return nil
}

// incarnationNow is the incarnation of the current session.
func (s *session) incarnationNow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// lapsed reports whether no lease that this session granted can still run.
// A lease is counted by the endpoint from when its token was issued, which is
// no later than the token's arrival here.
func (s *session) lapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokenAt.IsZero() {
		return false
	}
	return time.Since(s.tokenAt) > lapseBound(s.term.settings.Lease)
}

// lapseBound is the time after which a lease of the given length has lapsed by
// any clock.
func lapseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + clockDrift))
}

// countLapse ends the tasks of an endpoint whose lease has lapsed, once the
// log proves that no other daemon had taken over the zone by then. Without
// that proof another holder may have renewed the lease.
func (s *session) countLapse() {
	if !s.lapsed() {
		return
	}
	lapsedAt := time.Now()
	for s.term.tomb.Alive() && !s.term.provenSince(lapsedAt) {
		s.term.pause(proofInterval)
	}
	if s.term.tomb.Alive() {
		s.term.endpointLost(s, "the lease lapsed")
		s.mu.Lock()
		s.tokenAt = time.Time{}
		s.mu.Unlock()
	}
}

// forgetIfGone ends the session of an endpoint that the platform has removed.
func (s *session) forgetIfGone() bool {
	if !s.term.deps.Directory.AbsentFor(s.id, goneBound, s.term.began) || !s.idle() {
		return false
	}
	s.term.endpointLost(s, "the platform removed the instance")
	s.term.forgetEndpoint(s)
	return true
}

// idle reports whether nothing of this term can be running on the endpoint:
// no lease was ever granted, or the last one has lapsed.
func (s *session) idle() bool {
	s.mu.Lock()
	never := s.tokenAt.IsZero()
	s.mu.Unlock()
	return never || s.lapsed()
}

// renew takes over a lease token that has just arrived.
func (s *session) renew(token uint64) {
	if token == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token, s.tokenAt = token, time.Now()
}

// runEvents polls for events until the session ends.
func (s *session) runEvents(loops *tomb.Tomb) error {
	after, failing := uint64(0), false
	for loops.Alive() {
		response, err := s.pollEvents(loops, after)
		if err != nil {
			if err = s.commandError(err); errors.Is(err, errSessionEnded) {
				return err
			}
			failing = true
			s.term.setUsable(s, false)
			s.term.pause(attachBackoffMin)
			continue
		}
		if response.Incarnation != s.incarnationNow() {
			return errRestarted
		}
		if failing {
			failing = false
			s.term.setUsable(s, true)
		}
		after = response.Next
		s.renew(response.LeaseToken)
		s.term.observeCondition(s, response.Leaving, response.Usage)
		s.term.observeEvents(s, response.Events)
	}
	return nil
}

// pollEvents makes one long poll.
func (s *session) pollEvents(loops *tomb.Tomb, after uint64) (*endpoint.EventsResponse, error) {
	leaving := s.term.knownLeaving(s)
	s.mu.Lock()
	request := &endpoint.EventsRequest{
		Session:    s.number,
		Epoch:      s.term.epoch,
		After:      after,
		WaitMS:     s.pollWait().Milliseconds(),
		LeaseToken: s.token,
		LeaseMS:    s.term.settings.Lease.Milliseconds(),
		Leaving:    leaving,
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(loops.Context(context.Background()), callTimeout+s.pollWait())
	defer cancel()
	return s.client.Events(ctx, request)
}

// sessionNumber is the number that the endpoint gave the session.
func (s *session) sessionNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number
}

// commandError ends the term or the session if err says so.
func (s *session) commandError(err error) error {
	if epoch, fenced := endpoint.FencedBy(err); fenced {
		s.term.superseded(epoch)
		return errSessionEnded
	}
	if endpoint.KindOf(err) == endpoint.KindNotAttached {
		return errSessionEnded
	}
	return err
}

// context returns the context of one command, which ends with the term.
func (s *session) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.term.tomb.Context(context.Background()), callTimeout)
}
