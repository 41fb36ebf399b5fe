package zone

import (
	"errors"
	"slices"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

func TestClaimChain(t *testing.T) {
	tests := []struct {
		name   string
		offset uint64
		claim  record.Claim
		void   record.VoidKind
		epoch  uint64
	}{
		{"first", 1, record.Claim{Zone: "a", Holder: "h1"}, "", 1},
		{"another zone", 2, record.Claim{Zone: "b", Holder: "h1", Previous: 1}, record.VoidInvalid, 1},
		{"no holder", 3, record.Claim{Zone: "a", Previous: 1}, record.VoidInvalid, 1},
		{"first again", 4, record.Claim{Zone: "a", Holder: "h2"}, record.VoidClaim, 1},
		{"renewal", 5, record.Claim{Zone: "a", Holder: "h1", Base: 1}, "", 1},
		{"renewal by another", 6, record.Claim{Zone: "a", Holder: "h2", Base: 1}, record.VoidClaim, 1},
		{"renewal from another address", 7, record.Claim{Zone: "a", Holder: "h1", Address: "x", Base: 1}, record.VoidClaim, 1},
		{"takeover", 8, record.Claim{Zone: "a", Holder: "h2", Previous: 1}, "", 8},
		{"takeover that came second", 9, record.Claim{Zone: "a", Holder: "h3", Previous: 1}, record.VoidClaim, 8},
		{"renewal of the old epoch", 10, record.Claim{Zone: "a", Holder: "h1", Base: 1}, record.VoidClaim, 8},
		{"of a later epoch", 11, record.Claim{Zone: "a", Holder: "h1", Previous: 9}, record.VoidClaim, 8},
	}
	c := NewClaimChain("a")
	if c.CheckEpoch(0) == nil || c.Snapshot() != nil {
		t.Error("a zone that was never claimed has an epoch")
	}
	for _, test := range tests {
		var void *record.Void
		var kind record.VoidKind
		if errors.As(c.Apply(test.offset, &test.claim), &void) {
			kind = void.Kind
		}
		if kind != test.void || c.Epoch() != test.epoch {
			t.Errorf("%s: %v, epoch %d", test.name, void, c.Epoch())
		}
	}
	if *RestoreClaimChain(c.Snapshot()) != *c {
		t.Error("the restored chain differs")
	}
	if c.CheckEpoch(8) != nil || c.CheckEpoch(1) == nil || c.CheckEpoch(9) == nil {
		t.Error("CheckEpoch accepts an epoch other than the current one, or rejects the current one")
	}
}

func TestRoster(t *testing.T) {
	r := NewRoster()
	r.Apply(2, 1, &record.Roster{Endpoints: []string{"e2", "e1", "e3"}})
	r.Apply(3, 2, &record.Roster{Removed: []string{"e1", "e4"}})
	r.Apply(5, 3, &record.Roster{Endpoints: []string{"e1"}})
	r.Apply(6, 4, &record.Roster{Removed: []string{"e1"}})
	r.Apply(7, 6, &record.Roster{Removed: []string{"e3"}, Endpoints: []string{"e3"}})
	if got := r.Endpoints(); !slices.Equal(got, []string{"e1", "e2", "e3"}) {
		t.Errorf("roster %v", got)
	}
	r.Apply(8, 7, &record.Roster{Removed: []string{"e1"}})
	if r.Contains("e1") || r.AddedAt("e3") != 7 {
		t.Errorf("roster %v", r.Endpoints())
	}
	if _, err := RestoreRoster([]string{"e1"}, nil); err == nil {
		t.Error("a roster without offsets was restored")
	}
}
