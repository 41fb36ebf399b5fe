package team

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Ledger tracks the outgoing transfers of a zone's holder that are in flight.
// Each reserves its amount, which lowers the team's bound in the zone:
//
//	bound = balance at the applied offset - reservations not yet resolved
//
// The holder reserves the amount before it appends the transfer. A reservation
// ends only when the holder has applied the record, valid or void, or has
// applied an offset at which the record would be void because it is late. So an
// append with an unknown result keeps the bound lowered. Between applying a
// valid record and resolving its reservation the amount is subtracted twice,
// which can only make the bound too low.
//
// A Ledger belongs to one epoch. The next holder starts with an empty ledger,
// because transfers of older epochs that follow its claim in the log are void.
type Ledger struct {
	// balance returns the zone's balance of a team at the applied offset.
	balance      func(team string) int64
	reservations map[string]reservation
	reserved     map[string]int64
}

// reservation is the amount reserved for one transfer in flight.
type reservation struct {
	team   string
	amount int64
	// seen is the Seen field of the record: the offset that was applied when
	// the record was created.
	seen uint64
}

// NewLedger returns a ledger without reservations. balance returns the zone's
// balance of a team at the applied offset.
func NewLedger(balance func(team string) int64) *Ledger {
	return &Ledger{
		balance:      balance,
		reservations: map[string]reservation{},
		reserved:     map[string]int64{},
	}
}

// Reserve lowers the team's bound by amount for the transfer with the given id,
// created when offset seen was applied. It returns false, and the transfer must
// not be appended, if the bound would fall below running: the number of tasks
// that the team may have running in the zone, including those on endpoints that
// aren't adopted yet. It also returns false for an id that is reserved already.
func (l *Ledger) Reserve(id, team string, amount, running int64, seen uint64) bool {
	if _, ok := l.reservations[id]; ok || id == "" || amount <= 0 {
		return false
	}
	if l.available(team)-amount < max(running, 0) {
		return false
	}
	l.reservations[id] = reservation{team: team, amount: amount, seen: seen}
	l.reserved[team] += amount
	return true
}

// Resolve ends the reservation of a transfer that has been applied, valid or
// void. An unknown id has no effect.
func (l *Ledger) Resolve(id string) {
	r, ok := l.reservations[id]
	if !ok {
		return
	}
	delete(l.reservations, id)
	l.reserved[r.team] -= r.amount
	if l.reserved[r.team] == 0 {
		delete(l.reserved, r.team)
	}
}

// Expire ends the reservations of transfers that can no longer become valid
// after the given applied offset, and returns their ids in sorted order.
func (l *Ledger) Expire(applied uint64) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(l.reservations)) {
		if applied >= l.reservations[id].seen+record.SeenWindow {
			l.Resolve(id)
			ids = append(ids, id)
		}
	}
	return ids
}

// Bound returns how many tasks of the team may run in the zone.
func (l *Ledger) Bound(team string) int64 {
	return max(l.available(team), 0)
}

// available returns the balance minus the reservations. It is negative if the
// limit was lowered below the reserved amount.
func (l *Ledger) available(team string) int64 {
	return l.balance(team) - l.reserved[team]
}

// Excess returns by how many the running tasks of the team exceed its bound,
// for example after its limit was lowered.
func (l *Ledger) Excess(team string, running int64) int64 {
	return max(running-l.Bound(team), 0)
}

// Task is a running task that may have to be stopped.
type Task struct {
	ID string
	// Started is the start time; later starts have larger values.
	Started time.Duration
}

// NewestTasks returns the n tasks that were started last, newest first, with
// ties broken by id. When n tasks exceed the bound, these are the ones to
// checkpoint and stop.
func NewestTasks(tasks []Task, n int64) []Task {
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.Started, a.Started), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:min(max(n, 0), int64(len(sorted)))]
}
