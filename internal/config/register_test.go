package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

func text(t *testing.T, limit int64) string {
	t.Helper()
	out, err := operator.Print(&operator.Config{
		Zones: []operator.Zone{{Name: "a", Region: "r"}},
		Teams: []operator.Team{{Name: "red", Share: 1, UpperLimit: limit}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestRegister(t *testing.T) {
	one, two := text(t, 1), text(t, 2)
	tests := []struct {
		name    string
		offset  uint64
		config  record.Config
		void    record.VoidKind
		version uint64
	}{
		{"appended again before the first", 3, record.Config{Text: one, Base: 2}, record.VoidConflict, 0},
		{"expects an unknown version", 4, record.Config{Text: one, Expected: 3}, record.VoidConflict, 0},
		{"broken", 5, record.Config{Text: "[zone"}, record.VoidInvalid, 0},
		{"first", 6, record.Config{Text: one}, "", 6},
		{"concurrent first version", 7, record.Config{Text: two}, record.VoidConflict, 6},
		{"appended again", 8, record.Config{Text: one, Base: 6}, "", 6},
		{"appended again with another text", 9, record.Config{Text: two, Base: 6}, record.VoidInvalid, 6},
		{"invalid", 10, record.Config{Text: "[zone", Expected: 6}, record.VoidInvalid, 6},
		{"second", 11, record.Config{Text: two, Expected: 6}, "", 11},
		{"appended again after the second", 12, record.Config{Text: one, Base: 6}, record.VoidConflict, 11},
	}
	r := &Register{}
	for _, test := range tests {
		err := r.Apply(test.offset, &test.config)
		var void *record.Void
		var kind record.VoidKind
		if errors.As(err, &void) {
			kind = void.Kind
		}
		if kind != test.void || r.Current().Version != test.version {
			t.Errorf("%s: %v, version %d", test.name, err, r.Current().Version)
		}
	}
	restored, err := Restore(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r.Current(), restored.Current()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(r.Parsed(), restored.Parsed()); diff != "" {
		t.Error(diff)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	r := &Register{}
	for i := range uint64(2 * HistoryLength) {
		if err := r.Apply(i+1, &record.Config{Text: text(t, int64(i)), Expected: i, Author: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	history := r.History()
	if len(history) != HistoryLength || history[0].Version != HistoryLength+1 || history[HistoryLength-1] != r.Current() {
		t.Errorf("%d versions from %d", len(history), history[0].Version)
	}
}
