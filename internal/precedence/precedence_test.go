package precedence

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"pgregory.net/rapid"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n, MemoryMB: 100 * n} }

// TestSingleTasksWaitForWhatGangsAreOwed plays a full fleet on which single tasks compete
// with gangs.
func TestSingleTasksWaitForWhatGangsAreOwed(t *testing.T) {
	owed := Owed{}
	owed.Add("p", 1, cores(100))
	owed.Add("p", 3, cores(1000))
	owed.Add("other", 0, cores(1000))
	for name, c := range map[string]struct {
		pool     string
		priority int
		free     resource.Vector
		headroom resource.Vector
		want     bool
	}{
		"less room than is owed":                {"p", 2, cores(90), resource.Vector{}, true},
		"room beyond what is owed":              {"p", 2, cores(104), resource.Vector{}, false},
		"that room is headroom for urgent work": {"p", 2, cores(104), cores(1), true},
		"the same priority":                     {"p", 1, cores(4), resource.Vector{}, false},
		"a better priority":                     {"p", 0, cores(4), resource.Vector{}, false},
		"another pool":                          {"q", 2, cores(4), resource.Vector{}, false},
		"memory is short, processors are not":   {"p", 2, resource.Vector{MilliCores: 1 << 30, MemoryMB: 100 * 103}, resource.Vector{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := owed.Yields(c.pool, c.priority, cores(4), c.free, c.headroom); got != c.want {
				t.Errorf("yields: %v, want %v", got, c.want)
			}
		})
	}
}

// TestMoreOwedNeverFreesRoom checks that a task which waits still waits if more is owed or
// less is free.
func TestMoreOwedNeverFreesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, 200)
		owed := Owed{}
		for range rapid.IntRange(0, 5).Draw(t, "gangs") {
			owed.Add("p", rapid.IntRange(0, 3).Draw(t, "priority"), cores(amount.Draw(t, "owed")))
		}
		priority, size, free := rapid.IntRange(0, 3).Draw(t, "own"), cores(amount.Draw(t, "size")), cores(amount.Draw(t, "free"))
		if !owed.Yields("p", priority, size, free, resource.Vector{}) {
			return
		}
		if !owed.Yields("p", priority, size, free.Sub(cores(1)), resource.Vector{}) {
			t.Error("a task starts because less is free")
		}
		owed.Add("p", 0, cores(1))
		if !owed.Yields("p", priority, size, free, resource.Vector{}) {
			t.Error("a task starts because more is owed")
		}
	})
}
