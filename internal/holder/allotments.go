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
	// allotmentInterval is how often teams that wait at their bound are looked
	// for.
	allotmentInterval = 200 * time.Millisecond
	// excessGrace is how long a team may run more than its lowered bound before
	// tasks are stopped. It leaves half of the time in which a configuration
	// has to be in force for the stop itself.
	excessGrace = 4 * time.Second
	// transferTimeout bounds one request to another zone.
	transferTimeout = 3 * time.Second
	// transferRate and transferBurst bound the transfers that a holder appends,
	// in transfers a second.
	transferRate  = 2
	transferBurst = 16
	// maxTransfersPerRound bounds the teams served in one round, and with it
	// the appends that transfers cause.
	maxTransfersPerRound = 8
)

// noteTeam makes the engine know a team's share and bound.
func (t *Term) noteTeam(name string) {
	if t.teams[name] {
		return
	}
	t.teams[name] = true
	t.setTeam(name)
}

// refreshBounds gives the engine the current bounds of all teams.
func (t *Term) refreshBounds() {
	for name := range t.teams {
		t.setTeam(name)
	}
}

// setTeam gives the engine a team's share and bound.
func (t *Term) setTeam(name string) {
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

// bound is how many tasks of a team may run on the accounted endpoints:
//
//	bound = allotment - reserved for transfers - most that unaccounted endpoints may run
func (t *Term) bound(name string) int64 {
	return max(t.ledger.Bound(name)-t.gate.charge(), 0)
}

// teamLimit is the team's configured upper limit over the fleet.
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

// observeBounds takes in records that change allotments.
func (t *Term) observeBounds(effect cell.Effect) {
	switch effect.Kind {
	case record.KindConfig, record.KindSnapshot:
		t.refreshBounds()
	case record.KindTransfer:
		if name := effect.Envelope.Transfer.Team; t.teams[name] {
			t.setTeam(name)
		}
	default:
		return
	}
	t.kick()
}

// stopExcess stops the newest tasks of teams that have been running more than
// their bound for excessGrace, as after their limit was lowered: first those
// that may be started again, which are checkpointed, then the others. Until
// then tasks may end by themselves, and other zones may give allotment.
func (t *Term) stopExcess(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.teams {
		excess := int64(t.engine.RunningTasks(name)) - t.bound(name)
		if excess <= 0 || !t.gate.isOpen() {
			delete(t.overSince, name)
			continue
		}
		since, known := t.overSince[name]
		if !known {
			t.overSince[name] = now
			continue
		}
		if now.Sub(since) >= excessGrace {
			t.stopNewest(name, excess)
			t.overSince[name] = now
		}
	}
}

// stopNewest stops a number of a team's tasks.
func (t *Term) stopNewest(name string, excess int64) {
	for _, idempotent := range []bool{true, false} {
		tasks := team.NewestTasks(t.runningOf(name, idempotent), excess)
		for _, task := range tasks {
			t.stopOver(t.units[task.ID])
		}
		excess -= int64(len(tasks))
	}
}

// runningOf lists a team's running tasks, idempotent ones or the others.
func (t *Term) runningOf(name string, idempotent bool) []team.Task {
	var tasks []team.Task
	for _, u := range t.units {
		if u.spec.Team == name && u.session != nil && u.spec.Idempotent == idempotent {
			tasks = append(tasks, team.Task{ID: u.key, Started: u.begun})
		}
	}
	return tasks
}

// stopOver stops a task over its team's bound.
func (t *Term) stopOver(u *unit) {
	action := endpoint.ActionStop
	if u.spec.Idempotent {
		action = endpoint.ActionCheckpoint
	}
	t.log.Info("stopping a task over its team's lowered limit", "team", u.spec.Team, "task", u.spec.ID)
	u.session.queueStop(action, u.spec.ID)
}

// runAllotments asks other zones for allotment that waiting work needs, and
// ends reservations whose transfers can no longer take effect.
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
		for _, need := range t.shortTeams() {
			t.acquire(need)
		}
	}
}

// expireReservations ends reservations that the log has passed by.
func (t *Term) expireReservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ledger.Expire(t.deps.Journal.State().Applied())) > 0 {
		t.refreshBounds()
		t.kick()
	}
}

// shortage is how many more tasks of a team could run.
type shortage struct {
	team   string
	amount int64
}

// shortTeams lists teams that wait at their bound.
func (t *Term) shortTeams() []shortage {
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

// acquire asks the zones that hold allotment of a team, most first.
func (t *Term) acquire(need shortage) {
	for _, zone := range t.givers(need.team) {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), transferTimeout)
		granted, err := t.deps.RequestTransfer(ctx, zone, need.team, need.amount)
		cancel()
		if err != nil {
			metrics.Transfers.Add("failed", 1)
			t.log.Debug("transfer of allotment failed", "from", zone, "team", need.team, "error", err)
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

// givers lists the other zones with allotment of a team, most first.
func (t *Term) givers(name string) []string {
	balances := t.deps.Journal.State().Allotments(name)
	delete(balances, t.settings.AvailabilityZone)
	return team.ZonesByBalance(balances)
}

// TransferAllotment transfers at most amount of a team's unused allotment to another zone
// and returns how much was given. The own bound is lowered before the record
// is appended and stays so until the record's effect is known, which goes on
// after ctx has ended.
func (t *Term) TransferAllotment(ctx context.Context, name, to string, amount int64) (int64, *problem.Problem) {
	if !t.transferLimit.Allow() {
		return 0, nil
	}
	seen := t.deps.Journal.State().Applied()
	id, amount := t.reserve(name, amount, seen)
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
	t.transfers.add(entry)
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

// transferEntry is a transfer on its way to the log.
type transferEntry struct {
	id       string
	team     string
	envelope *record.Envelope
	// doubt is set once an attempt may have been appended. From then on only
	// the effect of a copy ends the reservation.
	doubt bool
	done  chan *problem.Problem
}

// size implements sized.
func (e *transferEntry) size() int { return len(e.id) + len(e.team) + 64 }

// commitTransfers appends transfers, each until its fate is known. All copies
// have one id, so that the first one in the log decides.
func (t *Term) commitTransfers(group []*transferEntry) (again []*transferEntry) {
	for _, e := range group {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), appendTimeout)
		effect, err := t.deps.Journal.AppendID(ctx, e.id, e.envelope)
		cancel()
		if err != nil && (e.doubt || !errors.Is(err, journal.ErrNotAppended)) {
			e.doubt = true
			again = append(again, e)
			continue
		}
		t.resolve(e.id, e.team)
		e.done <- transferProblem(effect, err)
	}
	if len(again) > 0 {
		t.pause(appendPause)
	}
	return again
}

// transferProblem says why a transfer did not count. One that is a duplicate
// counted as an earlier copy, or was void as one.
func transferProblem(effect cell.Effect, err error) *problem.Problem {
	switch {
	case err != nil:
		return appendProblem(err)
	case !effect.Valid:
		return problem.Refuse(problem.Moved, "ask again", "the transfer is void: %s", effect.Reason)
	}
	return nil
}

// reserve lowers the bound for a transfer of at most half of what is free
// beyond the team's own waiting work.
func (t *Term) reserve(name string, amount int64, seen uint64) (id string, reserved int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteTeam(name)
	used := int64(t.engine.RunningTasks(name)) + t.gate.charge()
	spare := t.ledger.Bound(name) - used - int64(t.engine.WaitingTasks(name))
	amount = min(amount, (spare+1)/2)
	id = journal.NewID()
	if amount <= 0 || !t.ledger.Reserve(id, name, amount, used, seen) {
		return "", 0
	}
	t.setTeam(name)
	return id, amount
}

// resolve ends a reservation whose effect is known.
func (t *Term) resolve(id, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Resolve(id)
	t.setTeam(name)
	t.kick()
}
