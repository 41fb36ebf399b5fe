package config

import (
	"strings"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"pgregory.net/rapid"
)

// drawText draws a text whose sections often repeat.
func drawText(t *rapid.T, label string) string {
	return strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{
		"[a]\nx = 1\n", "[a]\nx = 2\n", "[b]\n", "\n", "y = [1]\n", "[", "no newline",
	}), 0, 12).Draw(t, label), "")
}

func TestPatchProducesTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawText(t, "base"), drawText(t, "next")
		got, err := ApplyPatch(base, NewPatch(base, next))
		if err != nil || got != next {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

func TestPatchOfAnotherBaseIsVoid(t *testing.T) {
	base := "[a]\nx = 1\n[b]\ny = 1\n"
	patch := NewPatch(base, "[a]\nx = 1\n[b]\ny = 2\n")
	for _, other := range []string{"", "[a]\nx = 3\n[b]\ny = 1\n"} {
		if text, err := ApplyPatch(other, patch); err == nil {
			t.Errorf("base %q gave %q", other, text)
		}
	}
	for _, segment := range []record.PatchSegment{{Start: -1, Count: 1}, {Start: 1, Count: 5}, {Start: 9}, {Count: -1}} {
		if text, err := ApplyPatch(base, &record.ConfigPatch{Segments: []record.PatchSegment{segment}}); err == nil {
			t.Errorf("segment %+v gave %q", segment, text)
		}
	}
}

// TestPatchIsSmall requires a small record for a change of one team among 220.
func TestPatchIsSmall(t *testing.T) {
	team := "[team \"t\"]\nshare = 1\nupper_limit = 40\n"
	base := strings.Repeat(strings.Replace(team, "t\"", "other\"", 1), 219) + team
	patch := NewPatch(base, strings.Replace(base, "[team \"t\"]\nshare = 1", "[team \"t\"]\nshare = 2", 1))
	data, err := record.Encode(&record.Envelope{Kind: record.KindConfig, Config: &record.Config{Patch: patch}})
	if err != nil || len(data) > 4*len(team) {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
