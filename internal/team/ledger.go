package team

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Ledger is the holder's own account of the parts of its zone's balances that
// it is giving away. For every team
//
//	bound = balance at the applied offset - reservations not yet resolved
//
// The holder reserves before it appends the transfer. A reservation ends only
// when the holder has applied the record, valid or void, or has applied an
// offset at which the record would be void as late, so that an append whose
// fate is unknown keeps the bound lowered. Between applying a valid record and
// resolving its reservation the amount counts twice, which is the safe side.
//
// A Ledger belongs to one epoch: the next holder begins with an empty one, as
// transfers of an older epoch behind its claim are void.
type Ledger struct {
	// balance returns the zone's balance of a team at the applied offset.
	balance      func(team string) int64
	reservations map[string]reservation
	reserved     map[string]int64
}

type reservation struct {
	team   string
	amount int64
	// seen is the Seen of the record, the offset applied when it was made.
	seen uint64
}

// NewLedger returns a ledger without reservations over the given balances.
func NewLedger(balance func(team string) int64) *Ledger {
	return &Ledger{
		balance:      balance,
		reservations: map[string]reservation{},
		reserved:     map[string]int64{},
	}
}

// Reserve lowers the bound by amount for the transfer with the given id, made
// at offset seen. It refuses, and the transfer must not be appended, if the
// bound would fall below running, the number of tasks that the team may have
// running in the zone, which includes those on endpoints not adopted yet.
func (l *Ledger) Reserve(id, team string, amount, running int64, seen uint64) bool {
	if _, ok := l.reservations[id]; ok || id == "" || amount <= 0 {
		return false
	}
	if l.free(team)-amount < max(running, 0) {
		return false
	}
	l.reservations[id] = reservation{team: team, amount: amount, seen: seen}
	l.reserved[team] += amount
	return true
}

// Resolve ends a reservation whose transfer has been applied, valid or void.
// An unknown id has no effect.
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

// Expire ends the reservations whose transfers can no longer take effect once
// the given offset has been applied, and returns their ids in sorted order.
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

// Bound returns how many tasks of the team may be running in the zone.
func (l *Ledger) Bound(team string) int64 {
	return max(l.free(team), 0)
}

// free may be negative when the limit was lowered below what is reserved.
func (l *Ledger) free(team string) int64 {
	return l.balance(team) - l.reserved[team]
}

// Excess returns how many running tasks of the team are over its bound, as
// after its limit was lowered.
func (l *Ledger) Excess(team string, running int64) int64 {
	return max(running-l.Bound(team), 0)
}

// Task is a running task that may have to be stopped.
type Task struct {
	ID      string
	Started time.Duration
}

// NewestTasks returns the n tasks that were started last, the newest first, ties in
// the order of their ids: those to be checkpointed and stopped when n tasks
// are over the bound.
func NewestTasks(tasks []Task, n int64) []Task {
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.Started, a.Started), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:min(max(n, 0), int64(len(sorted)))]
}
