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
	// attachBackoffMin and attachBackoffMax bound the pause between attempts to attach
	// to an endpoint.
	attachBackoffMin = 50 * time.Millisecond
	attachBackoffMax = time.Second
	// silentGrace is how much longer than the wait of a poll an endpoint may be silent
	// before it is sent a heartbeat.
	silentGrace = time.Second
	// pollsPerLease is the number of consecutive polls during one lease.
	pollsPerLease = 4
	// maxPollWait bounds the wait of a poll. It thereby bounds how late a session
	// notices that an endpoint has stopped without closing its connections.
	maxPollWait = 7500 * time.Millisecond
	// clockDrift is the largest relative difference in rate between two monotonic clocks.
	clockDrift = 0.01
	// callTimeout bounds a command other than a poll.
	callTimeout = 2 * time.Second
	// lapseProofInterval is the interval at which a session with a lapsed lease looks for
	// proof that this daemon still holds the zone.
	lapseProofInterval = 100 * time.Millisecond
)

// Errors that end an attached session.
var (
	errSessionEnded = errors.New("the endpoint no longer knows the session; attach again")
	errRestarted    = errors.New("the endpoint has restarted; attach again")
	errLeaseLapsed  = errors.New("the lease has lapsed on any clock")
)

// session is the holder's connection to one endpoint. It attaches again after each
// failure, and each attach gives it a new session number.
type session struct {
	term     *Term
	instance loglist.Instance
	client   EndpointClient

	// Guarded by the term's lock.
	id   string
	kind endpoint.Kind
	// rosterID is the roster id of the adopted incarnation; it is empty until the log's
	// roster holds it.
	rosterID string
	// adoptedRosterID is the roster id of the last adopted inventory, which the log's
	// roster may not hold yet.
	adoptedRosterID    string
	adoptedIncarnation string
	// usable is set while the endpoint answers.
	usable bool
	// leaving is set if the endpoint itself reports that it is leaving.
	leaving bool
	// listedLeaving is set if the platform's list says that the endpoint is leaving.
	listedLeaving bool
	// backingOff is set for refusalBackoff after the endpoint has refused a task.
	backingOff bool
	// units are the units that are placed on the endpoint.
	units map[string]*unit

	// mu guards the fields below.
	mu          sync.Mutex
	incarnation string
	// number is the session number that the endpoint assigned on attach.
	number       uint64
	leaseToken   uint64
	leaseTokenAt time.Time
	starts       []endpoint.TaskSpec
	stops        map[endpoint.StopAction][]string
	acks         []string
	// wake wakes the sender.
	wake chan struct{}
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

// run keeps the endpoint attached until the term ends or the platform has removed the endpoint.
func (s *session) run() error {
	t := s.term
	backoff := attachBackoffMin
	for t.tomb.Alive() {
		response, err := s.attach()
		if err != nil {
			if epoch, fenced := endpoint.FencedBy(err); fenced {
				t.endSuperseded(epoch)
				return nil
			}
			if s.endIfRemoved() {
				return nil
			}
			s.handleLapse()
			t.sleep(backoff)
			backoff = min(2*backoff, attachBackoffMax)
			continue
		}
		backoff = attachBackoffMin
		err = s.serve(response)
		if err != nil {
			t.log.Info("endpoint session ends", "endpoint", s.id, "reason", err)
		}
		t.setUsable(s, false)
		if errors.Is(err, errLeaseLapsed) {
			s.handleLapse()
		}
	}
	return nil
}

// errEndpointMismatch refuses an endpoint whose id or zone differs from the list's.
var errEndpointMismatch = errors.New("the endpoint gives another id or zone than the list; correct the list")

// attach requests the endpoint's inventory under the term's epoch.
func (s *session) attach() (*endpoint.AttachResponse, error) {
	ctx, cancel := s.commandContext()
	defer cancel()
	response, err := s.client.Attach(ctx, &endpoint.AttachRequest{
		AvailabilityZone: s.term.settings.AvailabilityZone,
		Holder:           s.term.settings.Holder,
		Epoch:            s.term.epoch,
		LeaseMS:          s.term.settings.Lease.Milliseconds(),
	})
	if err == nil && (response.Endpoint != s.id || response.AvailabilityZone != s.term.settings.AvailabilityZone) {
		s.term.log.Error("endpoint answers with another id or zone than the list gives", "endpoint", s.id, "answers_as", response.Endpoint)
		return nil, errEndpointMismatch
	}
	return response, err
}

// serve adopts the inventory and runs the attached session until one of its loops fails.
func (s *session) serve(response *endpoint.AttachResponse) error {
	s.reset(response)
	if err := s.heartbeat(); err != nil {
		return err
	}
	s.term.adopt(s, response)
	loops := new(tomb.Tomb)
	loops.Go(func() error {
		loops.Go(func() error { return s.runHeartbeats(loops) })
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

// reset stores the parameters of a newly attached session. It drops the queued starts of
// the previous one, since adoption decides about those units, and keeps the queued stops.
func (s *session) reset(response *endpoint.AttachResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = response.Incarnation
	s.number = response.Session
	s.leaseToken = response.LeaseToken
	s.leaseTokenAt = time.Now()
	s.starts = nil
}

// runHeartbeats sends a heartbeat when polls have brought no answer from the endpoint for
// a while, and ends the session when its lease has lapsed.
func (s *session) runHeartbeats(loops *tomb.Tomb) error {
	ticker := time.NewTicker(s.term.settings.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-loops.Dying():
			return nil
		case <-ticker.C:
		}
		if s.leaseLapsed() {
			return errLeaseLapsed
		}
		if s.sinceLastAnswer() < s.pollWait()+silentGrace {
			continue
		}
		err := s.heartbeat()
		if errors.Is(err, errSessionEnded) || errors.Is(err, errRestarted) {
			return err
		}
		s.term.setUsable(s, err == nil)
	}
}

// pollWait returns how long a poll for events waits. Each poll renews the lease, so that
// several may fail before the lease lapses.
func (s *session) pollWait() time.Duration {
	return min(s.term.settings.Lease/pollsPerLease, maxPollWait)
}

// sinceLastAnswer returns the time since the endpoint last answered with a lease token.
func (s *session) sinceLastAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.leaseTokenAt)
}

// heartbeat sends one heartbeat.
func (s *session) heartbeat() error {
	s.mu.Lock()
	request := &endpoint.HeartbeatRequest{
		Session:    s.number,
		Epoch:      s.term.epoch,
		LeaseToken: s.leaseToken,
		LeaseMS:    s.term.settings.Lease.Milliseconds(),
	}
	s.mu.Unlock()
	ctx, cancel := s.commandContext()
	defer cancel()
	response, err := s.client.Heartbeat(ctx, request)
	if err != nil {
		return s.handleCommandError(err)
	}
	if response.Incarnation != s.currentIncarnation() {
		return errRestarted
	}
	s.renewLease(response.LeaseToken)
	s.term.handleCondition(s, response.Leaving, response.Usage)
	return nil
}

// currentIncarnation returns the endpoint's incarnation in the attached session.
func (s *session) currentIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// leaseLapsed reports whether every lease that this session has granted has certainly
// lapsed. It returns false if there is none, or if handleLapse has ended the tasks of the
// last one. An endpoint counts a lease from the issue of its token, which is no later than
// the token's arrival here.
func (s *session) leaseLapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseTokenAt.IsZero() {
		return false
	}
	return time.Since(s.leaseTokenAt) > leaseLapseTime(s.term.settings.Lease)
}

// leaseLapseTime returns the time after which a lease of the given length has lapsed on
// any clock.
func leaseLapseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + clockDrift))
}

// handleLapse ends the tasks of an endpoint whose lease has lapsed. It first waits for
// proof from the log that no other daemon had taken over the zone by then: otherwise
// another holder may have renewed the lease.
func (s *session) handleLapse() {
	if !s.leaseLapsed() {
		return
	}
	lapsedAt := time.Now()
	for s.term.tomb.Alive() && !s.term.heldSince(lapsedAt) {
		s.term.sleep(lapseProofInterval)
	}
	if s.term.tomb.Alive() {
		s.term.loseEndpoint(s, "the lease lapsed")
		s.mu.Lock()
		s.leaseTokenAt = time.Time{}
		s.mu.Unlock()
	}
}

// endIfRemoved ends the session of an endpoint that the platform has removed, and
// reports whether it did.
func (s *session) endIfRemoved() bool {
	if !s.term.deps.Directory.AbsentFor(s.id, minAbsence, s.term.startedAt) || !s.hasNoLease() {
		return false
	}
	s.term.loseEndpoint(s, "the platform removed the instance")
	s.term.forgetEndpoint(s)
	return true
}

// hasNoLease reports whether nothing of this term can be running on the endpoint: no
// lease was ever granted, or the last one has lapsed.
func (s *session) hasNoLease() bool {
	s.mu.Lock()
	never := s.leaseTokenAt.IsZero()
	s.mu.Unlock()
	return never || s.leaseLapsed()
}

// renewLease stores a lease token that has just arrived.
func (s *session) renewLease(token uint64) {
	if token == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseToken, s.leaseTokenAt = token, time.Now()
}

// runEvents polls for events until the session ends.
func (s *session) runEvents(loops *tomb.Tomb) error {
	after, failing := uint64(0), false
	for loops.Alive() {
		response, err := s.pollEvents(loops, after)
		if err != nil {
			if err = s.handleCommandError(err); errors.Is(err, errSessionEnded) {
				return err
			}
			failing = true
			s.term.setUsable(s, false)
			s.term.sleep(attachBackoffMin)
			continue
		}
		if response.Incarnation != s.currentIncarnation() {
			return errRestarted
		}
		if failing {
			failing = false
			s.term.setUsable(s, true)
		}
		after = response.Next
		s.renewLease(response.LeaseToken)
		s.term.handleCondition(s, response.Leaving, response.Usage)
		s.term.handleEvents(s, response.Events)
	}
	return nil
}

// pollEvents makes one long poll for the events after the given sequence number.
func (s *session) pollEvents(loops *tomb.Tomb, after uint64) (*endpoint.EventsResponse, error) {
	leaving := s.term.reportedLeaving(s)
	s.mu.Lock()
	request := &endpoint.EventsRequest{
		Session:    s.number,
		Epoch:      s.term.epoch,
		After:      after,
		WaitMS:     s.pollWait().Milliseconds(),
		LeaseToken: s.leaseToken,
		LeaseMS:    s.term.settings.Lease.Milliseconds(),
		Leaving:    leaving,
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(loops.Context(context.Background()), callTimeout+s.pollWait())
	defer cancel()
	return s.client.Events(ctx, request)
}

// sessionNumber returns the number of the attached session.
func (s *session) sessionNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number
}

// handleCommandError ends the term if err shows a higher epoch. It returns
// errSessionEnded if the attached session is over, otherwise err.
func (s *session) handleCommandError(err error) error {
	if epoch, fenced := endpoint.FencedBy(err); fenced {
		s.term.endSuperseded(epoch)
		return errSessionEnded
	}
	if endpoint.KindOf(err) == endpoint.KindNotAttached {
		return errSessionEnded
	}
	return err
}

// commandContext returns the context of one command. It ends with the term or after callTimeout.
func (s *session) commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.term.tomb.Context(context.Background()), callTimeout)
}
