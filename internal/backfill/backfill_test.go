package backfill

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"pgregory.net/rapid"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n} }

// TestForeseesTheFirstRoom has work wait for room on busy endpoints: it must be foreseen
// when there is room for all of it and not before.
func TestForeseesTheFirstRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]Host, rapid.IntRange(0, 5).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = Host{Free: cores(rapid.Int64Range(-2, 5).Draw(t, "free")), MaxTasks: rapid.IntRange(0, 5).Draw(t, "most")}
			for _, ms := range rapid.SliceOfN(rapid.Int64Range(0, 4000), 0, 5).Draw(t, "ends") {
				hosts[i].Releases = append(hosts[i].Releases, Release{At: time.Duration(ms) * time.Millisecond, Size: cores(3)})
			}
		}
		const now, until = time.Second, 3 * time.Second
		w := Work{Size: cores(rapid.Int64Range(1, 6).Draw(t, "size")), Tasks: rapid.IntRange(1, 10).Draw(t, "tasks")}
		r, ok := Foresee(now, until, hosts, w)
		if ok != (slotsAt(until, hosts, w) >= w.Tasks) {
			t.Fatalf("foreseen: %v, with room for %d of %d at the end", ok, slotsAt(until, hosts, w), w.Tasks)
		}
		if !ok {
			return
		}
		total := 0
		for i, n := range r.Tasks {
			total += n
			hosts[i].Claim(w.Size.Scale(int64(n)))
			if room := hosts[i].RoomAt(r.At); n > hosts[i].MaxTasks || n > 0 && room.MilliCores < 0 {
				t.Fatalf("%d tasks on a host that takes %d leave %+v", n, hosts[i].MaxTasks, room)
			}
			hosts[i].Claim(w.Size.Scale(int64(-n)))
		}
		if total != w.Tasks {
			t.Fatalf("%d tasks have a host, not %d", total, w.Tasks)
		}
		if before := r.At - resolution; before >= now && slotsAt(before, hosts, w) >= w.Tasks {
			t.Fatalf("there is room at %v, not only at %v", before, r.At)
		}
	})
}
