package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Action is what a Change does to an entry.
type Action string

// Actions of a Change.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// Change is one difference between two configurations. Entries are added,
// removed, or changed in one key.
type Change struct {
	Action Action `json:"action"`
	// Kind is zone, team, key or queue.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Key, Old and New are set only for ActionChange.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Summary lists the values of the entry that is added or removed.
	Summary string `json:"summary,omitempty"`
}

// String returns the change as one line, such as
// "team press: upper limit 40 to 60".
func (c Change) String() string {
	subject := c.Kind + " " + c.Name + ": "
	switch c.Action {
	case ActionAdd:
		return subject + "added (" + c.Summary + ")"
	case ActionRemove:
		return subject + "removed (" + c.Summary + ")"
	}
	if c.Kind == sectionKey && c.Key == "withdrawn" {
		return subject + describeWithdrawn(c.New)
	}
	return subject + displayKey(c.Key) + " " + displayValue(c.Key, c.Old) + " to " + displayValue(c.Key, c.New)
}

// GrantsAgain reports whether the change makes a withdrawn key valid again.
func (c Change) GrantsAgain() bool {
	return c.Action == ActionChange && c.Kind == sectionKey && c.Key == "withdrawn" && c.New == "false"
}

func describeWithdrawn(withdrawn string) string {
	if withdrawn == "true" {
		return "withdrawn"
	}
	return "granted again"
}

// Diff returns the changes that turn old into next, ordered by kind and name.
// Both are compared in canonical form, so that the order of lists and defaults
// that are written out make no difference.
func Diff(old, next *Config) []Change {
	old, next = old.Canonical(), next.Canonical()
	var out []Change
	out = append(out, diffEntries(sectionZone, old.Zones, next.Zones, zoneFields, func(z *Zone) string { return z.Name })...)
	out = append(out, diffEntries(sectionTeam, old.Teams, next.Teams, teamFields, func(t *Team) string { return t.Name })...)
	out = append(out, diffEntries(sectionKey, old.Keys, next.Keys, keyFields, func(k *Key) string { return k.ID })...)
	out = append(out, diffEntries(sectionQueue, old.Queues, next.Queues, queueFields, func(q *Queue) string { return q.Name })...)
	return out
}

// diffEntries compares the entries of one kind, matched by name.
func diffEntries[T any](kind string, old, next []T, fields []field[T], name func(*T) string) []Change {
	before := byName(old, name)
	after := byName(next, name)
	var out []Change
	for n, t := range before {
		if after[n] == nil {
			out = append(out, Change{Action: ActionRemove, Kind: kind, Name: n, Summary: summarize(t, fields)})
		}
	}
	for n, t := range after {
		if before[n] == nil {
			out = append(out, Change{Action: ActionAdd, Kind: kind, Name: n, Summary: summarize(t, fields)})
			continue
		}
		out = append(out, diffFields(kind, n, before[n], t, fields)...)
	}
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		out[name(&list[i])] = &list[i]
	}
	return out
}

// diffFields compares two entries of the same name key by key.
func diffFields[T any](kind, name string, old, next *T, fields []field[T]) []Change {
	var out []Change
	for _, f := range fields {
		before, after := f.print(old), f.print(next)
		if before == after {
			continue
		}
		out = append(out, Change{
			Action: ActionChange,
			Kind:   kind,
			Name:   name,
			Key:    f.name,
			Old:    before,
			New:    after,
		})
	}
	return out
}

// summarize lists the keys and values of an entry that differ from the zero
// value.
func summarize[T any](t *T, fields []field[T]) string {
	var zero T
	var parts []string
	for _, f := range fields {
		value := f.print(t)
		if value == f.print(&zero) {
			continue
		}
		parts = append(parts, displayKey(f.name)+" "+displayValue(f.name, value))
	}
	return strings.Join(parts, ", ")
}

// displayKey returns the name of a key with spaces instead of underscores.
func displayKey(key string) string {
	return strings.ReplaceAll(key, "_", " ")
}

// displayedHashDigits is the number of leading digits of a hash that String
// shows, enough for people to compare hashes.
const displayedHashDigits = 12

// displayValue returns a value in a readable form: empty values in words,
// hashes shortened and lists in parentheses.
func displayValue(key, value string) string {
	if value == "" && key == "teams" {
		return "every team"
	}
	if value == "" {
		return "none"
	}
	if key == "sha256" && len(value) > displayedHashDigits {
		return value[:displayedHashDigits] + "..."
	}
	if strings.Contains(value, ", ") {
		return fmt.Sprintf("(%s)", value)
	}
	return value
}
