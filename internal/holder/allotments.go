package holder

import (
	"context"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"github.com/bluebellstile/bluebellstile/internal/placement"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/internal/team"
	"github.com/pkg/errors"
)

const (
	// allotmentInterval is the interval at which teams that wait at their bound are
	// looked for.
	allotmentInterval = 200 * time.Millisecond
	// excessGrace is how long a team may run more tasks than its lowered bound
	// before tasks are stopped. It leaves half of the time in which a configuration
	// has to take effect for the stop itself.
	excessGrace = 4 * time.Second
	// transferTimeout bounds one transfer request to another zone.
	transferTimeout = 3 * time.Second
	// transferRate (transfers per second) and transferBurst limit the transfers
	// that a holder appends to the log.
	transferRate  = 2
	transferBurst = 16
	// maxTransfersPerRound bounds the teams that request a transfer in one round,
	// and with it the appends that transfers cause.
	maxTransfersPerRound = 8
)

// ensureTeam adds a team to the engine with its share and bound, unless the engine has it.
func (t *Term) ensureTeam(name string) {
	if t.teams[name] {
		return
	}
	t.teams[name] = true
	t.updateTeam(name)
}

// refreshBounds updates the shares and bounds of all teams in the engine.
func (t *Term) refreshBounds() {
	for name := range t.teams {
		t.updateTeam(name)
	}
}

// updateTeam sets a team's share and bound in the engine. A team that is not
// configured gets share 1.
func (t *Term) updateTeam(name string) {
	share := int64(1)
	if cfg, _ := t.deps.Journal.State().Config(); cfg != nil {
		for _, configured := range cfg.Teams {
			if configured.Name == name {
				share = configured.Share
			}
		}
	}
	t.engine.SetTeam(placement.Team{Name: name, Weight: share, MaxRunning: t.bound(name)})
}

// bound returns how many tasks of a team may run on the endpoints that have been
// accounted for:
//
//	bound = allotment - reserved for transfers - most tasks that unaccounted endpoints may run
func (t *Term) bound(name string) int64 {
	return max(t.ledger.Bound(name)-t.gate.maxUnaccountedTasks(), 0)
}

// teamLimit returns the team's configured upper limit over all zones, 0 if it has none.
func (t *Term) teamLimit(name string) int64 {
	cfg, _ := t.deps.Journal.State().Config()
	if cfg == nil {
		return 0
	}
	for _, configured := range cfg.Teams {
		if configured.Name == name {
			return configured.UpperLimit
		}
	}
	return 0
}

// observeBounds updates the teams' bounds after a record that changes allotments.
func (t *Term) observeBounds(effect cell.Effect) {
	switch effect.Kind {
	case record.KindConfig, record.KindSnapshot:
		t.refreshBounds()
	case record.KindTransfer:
		if name := effect.Envelope.Transfer.Team; t.teams[name] {
			t.updateTeam(name)
		}
	default:
		return
	}
	t.wakeScheduler()
}

// stopExcess stops the newest tasks of teams that have run more tasks than their
// bound for excessGrace, as after their limit was lowered. It stops idempotent
// tasks first, after a checkpoint, and then the others. During the grace tasks may
// end by themselves and other zones may transfer allotment.
func (t *Term) stopExcess(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.teams {
		excess := int64(t.engine.RunningTasks(name)) - t.bound(name)
		if excess <= 0 || !t.gate.isOpen() {
			delete(t.overBoundSince, name)
			continue
		}
		since, known := t.overBoundSince[name]
		if !known {
			t.overBoundSince[name] = now
			continue
		}
		if now.Sub(since) >= excessGrace {
			t.stopNewest(name, excess)
			t.overBoundSince[name] = now
		}
	}
}

// stopNewest stops the given number of a team's tasks, newest first.
func (t *Term) stopNewest(name string, excess int64) {
	for _, idempotent := range []bool{true, false} {
		tasks := team.NewestTasks(t.runningTasks(name, idempotent), excess)
		for _, task := range tasks {
			t.stopOverBound(t.units[task.ID])
		}
		excess -= int64(len(tasks))
	}
}

// runningTasks returns a team's running tasks that are idempotent, or those that are not.
func (t *Term) runningTasks(name string, idempotent bool) []team.Task {
	var tasks []team.Task
	for _, u := range t.units {
		if u.spec.Team == name && u.session != nil && u.spec.Idempotent == idempotent {
			tasks = append(tasks, team.Task{ID: u.key, Started: u.sentAt})
		}
	}
	return tasks
}

// stopOverBound stops a task that exceeds its team's bound.
func (t *Term) stopOverBound(u *unit) {
	action := endpoint.ActionStop
	if u.spec.Idempotent {
		action = endpoint.ActionCheckpoint
	}
	t.log.Info("stopping a task over its team's lowered limit", "team", u.spec.Team, "task", u.spec.ID)
	u.session.queueStop(action, u.spec.ID)
}

// runAllotments periodically requests the allotment that waiting work needs from
// other zones, stops tasks that exceed lowered bounds and ends reservations whose
// transfers can no longer take effect.
func (t *Term) runAllotments() error {
	ticker := time.NewTicker(allotmentInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		t.expireReservations()
		t.stopExcess(time.Now())
		for _, need := range t.shortages() {
			t.acquireAllotment(need)
		}
	}
}

// expireReservations ends the reservations whose transfer records would be void by
// now, given the log offset that has been applied.
func (t *Term) expireReservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ledger.Expire(t.deps.Journal.State().Applied())) > 0 {
		t.refreshBounds()
		t.wakeScheduler()
	}
}

// shortage is the number of tasks by which a team's demand exceeds its bound.
type shortage struct {
	team   string
	amount int64
}

// shortages returns the shortages of at most maxTransfersPerRound teams.
func (t *Term) shortages() []shortage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []shortage
	for name := range t.teams {
		waiting, running := int64(t.engine.WaitingTasks(name)), int64(t.engine.RunningTasks(name))
		if need := running + waiting - t.bound(name); need > 0 {
			out = append(out, shortage{team: name, amount: need})
		}
		if len(out) == maxTransfersPerRound {
			break
		}
	}
	return out
}

// acquireAllotment requests allotment from the other zones that hold some of the
// team's, beginning with the largest balance, until the shortage is covered.
func (t *Term) acquireAllotment(need shortage) {
	for _, zone := range t.donorZones(need.team) {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), transferTimeout)
		granted, err := t.deps.RequestTransfer(ctx, zone, need.team, need.amount)
		cancel()
		if err != nil {
			metrics.Transfers.Add("failed", 1)
			t.log.Debug("allotment transfer failed", "from", zone, "team", need.team, "error", err)
			continue
		}
		if granted > 0 {
			metrics.Transfers.Add("granted", 1)
			need.amount -= granted
		}
		if need.amount <= 0 || !t.tomb.Alive() {
			return
		}
	}
}

// donorZones returns the other zones that hold allotment of a team, largest balance first.
func (t *Term) donorZones(name string) []string {
	balances := t.deps.Journal.State().Allotments(name)
	delete(balances, t.settings.AvailabilityZone)
	return team.ZonesByBalance(balances)
}

// TransferAllotment transfers at most amount of a team's unused allotment to another
// zone and returns how much was transferred. This zone's bound is lowered before
// the record is appended and stays lowered until the record's effect is known, even
// if ctx ends before that.
func (t *Term) TransferAllotment(ctx context.Context, name, to string, amount int64) (int64, *problem.Problem) {
	if !t.transferLimit.Allow() {
		return 0, nil
	}
	seen := t.deps.Journal.State().Applied()
	id, amount := t.reserveTransfer(name, amount, seen)
	if amount <= 0 {
		return 0, nil
	}
	envelope := &record.Envelope{Kind: record.KindTransfer, Seen: seen, Transfer: &record.Transfer{
		ID:     id,
		Team:   name,
		From:   t.settings.AvailabilityZone,
		To:     to,
		Amount: amount,
		Epoch:  t.epoch,
	}}
	entry := &transferEntry{id: id, team: name, envelope: envelope, done: make(chan *problem.Problem, 1)}
	t.transferBatcher.add(entry)
	select {
	case p := <-entry.done:
		if p != nil {
			return 0, p
		}
		return amount, nil
	case <-ctx.Done():
		return 0, problem.UnknownOutcome(problem.LogOutcomeUnknown, "ask again", "the log did not confirm the transfer in time")
	}
}

// transferEntry is a transfer that waits to be appended to the log.
type transferEntry struct {
	id       string
	team     string
	envelope *record.Envelope
	// maybeAppended is set once an attempt may have been appended. From then on
	// only the effect of a copy of the record ends the reservation.
	maybeAppended bool
	done          chan *problem.Problem
}

// size implements sized.
func (e *transferEntry) size() int { return len(e.id) + len(e.team) + 64 }

// commitTransfers appends transfers and returns those whose outcome is unknown, to
// be appended again. All copies of a transfer have the same record id, so that only
// the first one in the log takes effect.
func (t *Term) commitTransfers(group []*transferEntry) (retry []*transferEntry) {
	for _, e := range group {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), appendTimeout)
		effect, err := t.deps.Journal.AppendID(ctx, e.id, e.envelope)
		cancel()
		if err != nil && (e.maybeAppended || !errors.Is(err, journal.ErrNotAppended)) {
			e.maybeAppended = true
			retry = append(retry, e)
			continue
		}
		t.resolveReservation(e.id, e.team)
		e.done <- transferProblem(effect, err)
	}
	if len(retry) > 0 {
		t.sleep(appendRetryDelay)
	}
	return retry
}

// transferProblem returns the reason for which a transfer has no effect, or nil. A
// duplicate is valid or void as the earlier copy was.
func transferProblem(effect cell.Effect, err error) *problem.Problem {
	switch {
	case err != nil:
		return appendProblem(err)
	case !effect.Valid:
		return problem.Refuse(problem.Moved, "ask again", "the transfer is void: %s", effect.Reason)
	}
	return nil
}

// reserveTransfer lowers the team's bound for a transfer. It reserves at most half
// of the allotment that the team needs neither for its running and waiting tasks nor
// for those that may run on unaccounted endpoints.
func (t *Term) reserveTransfer(name string, amount int64, seen uint64) (id string, reserved int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ensureTeam(name)
	used := int64(t.engine.RunningTasks(name)) + t.gate.maxUnaccountedTasks()
	spare := t.ledger.Bound(name) - used - int64(t.engine.WaitingTasks(name))
	amount = min(amount, (spare+1)/2)
	id = journal.NewID()
	if amount <= 0 || !t.ledger.Reserve(id, name, amount, used, seen) {
		return "", 0
	}
	t.updateTeam(name)
	return id, amount
}

// resolveReservation ends a reservation whose transfer has a known effect.
func (t *Term) resolveReservation(id, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Resolve(id)
	t.updateTeam(name)
	t.wakeScheduler()
}
