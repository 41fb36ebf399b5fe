package node

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// producerName is the producer under which holders append the records of
	// jobs.
	producerName = "holder"
	// beginTimeout is the timeout for beginning a term, which includes reading
	// all jobs from a slow log or over a slow link. After terms that failed to
	// begin, other daemons allow the next one that long.
	beginTimeout = 12 * time.Second
	// readCheckTimeout is the timeout of the check that the jobs can be read.
	readCheckTimeout = 350 * time.Millisecond
	// configVersionTimeout is how long a job waits for this daemon to read the
	// configuration under which another daemon admitted it.
	configVersionTimeout = 700 * time.Millisecond
	// configVersionPollInterval is how often that configuration is checked for.
	configVersionPollInterval = 20 * time.Millisecond
)

// termManager begins and ends the terms in which this daemon holds the cell. It
// is safe for concurrent use.
type termManager struct {
	log         keyedlog.Log
	jobs        keyedlog.Partition
	registry    RegistryFeed
	endpoints   controller.EndpointClient
	eligibility controller.Eligibility
	params      controller.Params
	clock       clock.Clock
	logger      *slog.Logger
	catalogs    *catalogFollower
	tomb        *tomb.Tomb
	self        leadership.Member
	// peer returns the client for sending orders through a member.
	peer func(leadership.Member) dispatch.Peer
	// onTermEnd is called with the epoch of each term that has ended or did not
	// begin.
	onTermEnd func(epoch int64)

	// mu guards the fields below.
	mu        sync.Mutex
	current   *term
	instances int
	members   []leadership.Member
}

// term is a running term. It implements fleetpeer.Holder.
type term struct {
	controller *controller.Controller
	dispatcher *dispatch.Dispatcher
	tomb       *tomb.Tomb
	catalogs   *catalogFollower
}

// checkJobsReadable returns an error if this daemon can't read the partition of
// the jobs at present. It reads beyond the end, so that the log returns no
// records.
func (ts *termManager) checkJobsReadable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readCheckTimeout)
	defer cancel()
	_, err := ts.log.Read(ctx, ts.jobs, math.MaxInt32, 0)
	return errors.WithMessage(err, "this daemon can't read the jobs")
}

// begin starts the term of a claim in the background.
func (ts *termManager) begin(claim leadership.Claim) {
	ts.tomb.Go(func() error {
		ts.runTerm(claim.Epoch)
		return nil
	})
}

// runTerm runs a term until it ends.
func (ts *termManager) runTerm(epoch int64) {
	t := new(tomb.Tomb)
	stop := context.AfterFunc(ts.tomb.Context(context.Background()), func() { t.Kill(nil) })
	defer stop()
	defer ts.onTermEnd(epoch)
	began := time.Now()
	current, err := ts.startTerm(t, epoch)
	if err != nil {
		ts.logger.Warn("term did not begin", "epoch", epoch, "error", err)
		return
	}
	ts.setCurrent(current)
	ts.logger.Info("term runs", "epoch", epoch, "after", time.Since(began), "processors", ts.self.Processors)
	err = t.Wait()
	ts.clearCurrent(current)
	ts.logger.Info("term ended", "epoch", epoch, "cause", err, "stats", current.controller.Stats())
}

// startTerm fences earlier terms, reads the jobs that they have stored, and
// starts the controller.
func (ts *termManager) startTerm(t *tomb.Tomb, epoch int64) (*term, error) {
	ctx, cancel := context.WithTimeout(ts.tomb.Context(context.Background()), beginTimeout)
	defer cancel()
	if ts.catalogs.Catalog() == nil {
		return nil, errors.New("no configuration has been read yet")
	}
	registry := &registryFollower{feed: ts.registry, log: ts.log, clock: ts.clock, logger: ts.logger, listed: make(map[string]bool)}
	var registrations []fleet.Registration
	registered := make(chan error, 1)
	go func() {
		var err error
		registrations, err = registry.load(ctx)
		registered <- err
	}()
	writer := keyedlog.NewWriter(ts.log, ts.jobs, producerName, epoch)
	proven := ts.clock.Now()
	if err := writer.Fence(ctx, nil); err != nil {
		return nil, errors.WithMessage(err, "fence earlier terms")
	}
	fenced := ts.clock.Now()
	refreshed := make(chan error, 1)
	go func() { refreshed <- ts.catalogs.refresh(ctx) }()
	entries, err := keyedlog.NewestInRanges(ctx, ts.log, ts.jobs, controller.RecordSplitKeys())
	if err != nil {
		return nil, errors.WithMessage(err, "read the jobs")
	}
	if err := <-registered; err != nil {
		return nil, errors.WithMessage(err, "read the registry of endpoints")
	}
	// Earlier terms are fenced, so that this configuration is at least as new as
	// that of any decision in the records.
	if err := <-refreshed; err != nil {
		return nil, errors.WithMessage(err, "read the configuration")
	}
	core := ts.newCore(epoch, ts.catalogs.Catalog(), fenced, registrations, entries)
	dispatcher := ts.newDispatcher(t, epoch)
	c := controller.NewController(core, controller.Options{
		Epoch:       epoch,
		Clock:       ts.clock,
		TermProof:   leadership.NewTermProof(ts.params.TermGrace, proven),
		Endpoints:   dispatcher,
		Eligibility: ts.eligibility,
		Writer:      writer,
		Logger:      ts.logger,
	})
	for _, r := range registrations {
		registry.listed[r.ID] = true
		dispatcher.EndpointListed(r)
	}
	registry.controller, registry.dispatcher = c, dispatcher
	c.Start(t)
	t.Go(func() error { return registry.run(t) })
	return &term{controller: c, dispatcher: dispatcher, tomb: t, catalogs: ts.catalogs}, nil
}

// newDispatcher returns the dispatcher of a term.
func (ts *termManager) newDispatcher(t *tomb.Tomb, epoch int64) *dispatch.Dispatcher {
	d := dispatch.New(t, dispatch.Options{
		Epoch:  epoch,
		Self:   ts.self,
		Clock:  ts.clock,
		Direct: ts.endpoints,
		Peer:   ts.peer,
		Logger: ts.logger.With("epoch", epoch),
	})
	ts.mu.Lock()
	defer ts.mu.Unlock()
	d.SetMembers(ts.members)
	return d
}

// newCore returns the controller core of a term, with the endpoints and jobs
// that were stored. fenced is when earlier terms were fenced.
func (ts *termManager) newCore(epoch int64, configuration *catalog.Catalog, fenced time.Duration, registrations []fleet.Registration, entries []keyedlog.Entry) *controller.Core {
	now := clock.Read(ts.clock)
	core := controller.NewCore(ts.params, configuration, fenced, ts.logger.With("epoch", epoch))
	for _, r := range registrations {
		core.EndpointListed(now, r)
	}
	core.SetEvacuations(ts.catalogs.Evacuations())
	core.Restore(now, entries)
	return core
}

// setCurrent makes a term the running one and gives it the members, instances
// and configuration that were set before.
func (ts *termManager) setCurrent(current *term) {
	ts.mu.Lock()
	ts.current = current
	instances, members := ts.instances, ts.members
	ts.mu.Unlock()
	current.dispatcher.SetMembers(members)
	current.controller.SetEligibilityInstances(instances)
	if c := ts.catalogs.Catalog(); c != nil {
		current.controller.SetCatalog(c)
	}
	current.controller.UpdateEvacuations(ts.catalogs.Evacuations)
}

// clearCurrent records that a term has ended.
func (ts *termManager) clearCurrent(ended *term) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.current == ended {
		ts.current = nil
	}
}

// term returns the running term, or nil.
func (ts *termManager) term() *term {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.current
}

// supersedeAfter is how long a term continues after a newer claim. It serves
// until the new holder has fenced it; usually its next append then ends it.
const supersedeAfter = 1500 * time.Millisecond

// supersede ends the running term, after supersedeAfter, if its epoch is below
// the newest claim's.
func (ts *termManager) supersede(epoch int64) {
	t := ts.term()
	if t == nil || t.controller.Epoch() >= epoch {
		return
	}
	time.AfterFunc(supersedeAfter, func() { t.tomb.Kill(controller.ErrTermEnded) })
}

// setInstances sets the number of instances from which the platform can be asked
// about eligible endpoints.
func (ts *termManager) setInstances(n int) {
	ts.mu.Lock()
	ts.instances = n
	t := ts.current
	ts.mu.Unlock()
	if t != nil {
		t.controller.SetEligibilityInstances(n)
	}
}

// setMembers sets the daemons of the cell.
func (ts *termManager) setMembers(members []leadership.Member) {
	ts.mu.Lock()
	ts.members = members
	t := ts.current
	ts.mu.Unlock()
	if t != nil {
		t.dispatcher.SetMembers(members)
	}
}

// sendsOrders reports whether a daemon sends orders for the term that this
// daemon holds.
func (ts *termManager) sendsOrders(name string) bool {
	t := ts.term()
	return t != nil && t.dispatcher.HasOpenSession(name)
}

// setCatalog puts a newer configuration into force in the running term.
func (ts *termManager) setCatalog(c *catalog.Catalog) {
	if t := ts.term(); t != nil {
		t.controller.SetCatalog(c)
	}
}

// updateEvacuations gives the running term the availability zones that are being emptied.
func (ts *termManager) updateEvacuations() {
	if t := ts.term(); t != nil {
		t.controller.UpdateEvacuations(ts.catalogs.Evacuations)
	}
}

// Submit implements fleetpeer.Holder.
func (t *term) Submit(ctx context.Context, job *workload.Job, version int64) (*problem.Problem, error) {
	if !t.controller.KnowsJob(job.ID) {
		// A job that is stored was admitted before, whatever is configured now.
		if p := t.awaitVersion(ctx, version); p != nil {
			return p, nil
		}
	}
	r, err := t.controller.Submit(ctx, controller.Submission{
		ID:       job.ID,
		Queue:    job.Queue,
		Customer: job.Customer,
		Accepted: job.Accepted,
		Spec:     job.Spec,
	})
	return r.Problem, err
}

// awaitVersion waits until the configuration under which another daemon
// admitted a job is in force here.
func (t *term) awaitVersion(ctx context.Context, version int64) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, configVersionTimeout)
	defer cancel()
	for t.controller.Version() < version {
		timer := time.NewTimer(configVersionPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return problem.Refuse(problem.ConfigNotFresh, "try again later",
				"the holder has not read configuration %d yet", version).WithRetryAfter(configVersionTimeout)
		}
	}
	return nil
}

// Status implements fleetpeer.Holder.
func (t *term) Status(ctx context.Context, id workload.ID, customer string) (workload.State, error) {
	state, ok := t.controller.Status(id, customer)
	if ok {
		return state, nil
	}
	return "", t.controller.ConfirmCurrent(ctx)
}

// Cancel implements fleetpeer.Holder.
func (t *term) Cancel(ctx context.Context, id workload.ID, customer string) (bool, error) {
	found, err := t.controller.Cancel(ctx, id, customer)
	if err != nil || found {
		return found, err
	}
	return false, t.controller.ConfirmCurrent(ctx)
}

// Waiting implements fleetpeer.Holder.
func (t *term) Waiting(_ context.Context, queue string) (int, error) {
	return t.controller.Waiting(queue), nil
}
