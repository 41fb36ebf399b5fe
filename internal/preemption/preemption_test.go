package preemption

import (
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"pgregory.net/rapid"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n} }

// victims returns runs of the given sizes in cores, each with a loss of its size.
func victims(sizes ...int64) []Victim {
	out := make([]Victim, len(sizes))
	for i, n := range sizes {
		out[i] = Victim{Size: cores(n), Loss: float64(n)}
	}
	return out
}

// TestUrgentBurst has urgent tasks of four cores arrive at endpoints that are full.
func TestUrgentBurst(t *testing.T) {
	dear := victims(4)
	dear[0].Loss = 50
	missing := victims(4)
	missing[0].Misses = true
	for name, c := range map[string]struct {
		hosts []Host
		need  Need
		want  Result
	}{
		"the cheapest host":        {[]Host{{Victims: dear}, {Victims: victims(3, 3)}, {Victims: victims(4)}}, Need{Tasks: 1, Budget: 100}, Result{Tasks: 1, Loss: 4}},
		"what is free comes first": {[]Host{{Free: cores(4), Victims: victims(4)}}, Need{Tasks: 1, Budget: 100}, Result{Tasks: 1}},
		"a gap and a small run":    {[]Host{{Free: cores(2), Victims: victims(6, 2)}}, Need{Tasks: 1, Budget: 100}, Result{Tasks: 1, Loss: 2}},
		"no more than it needs":    {[]Host{{Victims: victims(4)}, {Victims: append(victims(4, 4), Victim{Size: cores(16), Loss: 1})}}, Need{Tasks: 5, Budget: 100}, Result{Tasks: 5, Loss: 5}},
		"within the budget":        {[]Host{{Victims: victims(4)}, {Victims: victims(4)}}, Need{Tasks: 2, Budget: 7}, Result{Tasks: 1, Loss: 4}},
		"none that misses":         {[]Host{{Victims: missing}}, Need{Tasks: 1, Budget: 100}, Result{}},
		"a bound on each host":     {[]Host{{MaxTasks: 1, Victims: victims(4, 4)}}, Need{Tasks: 2, Budget: 100}, Result{Tasks: 1, Loss: 4}},
		"part of a gang is no use": {[]Host{{Victims: victims(4)}}, Need{Tasks: 2, Budget: 100, Together: true}, Result{}},
		"a whole gang":             {[]Host{{Victims: victims(4)}, {Free: cores(4)}}, Need{Tasks: 2, Budget: 100, Together: true}, Result{Tasks: 2, Loss: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.hosts {
				if c.hosts[i].MaxTasks == 0 {
					c.hosts[i].MaxTasks = c.need.Tasks
				}
			}
			c.need.Size = cores(4)
			if got := Choose(c.hosts, c.need); got.Tasks != c.want.Tasks || got.Loss != c.want.Loss {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestChoicesStayWithinBounds checks random loads: nothing is stopped that would miss its
// objective or for more than the budget, and the tasks counted have room.
func TestChoicesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]Host, rapid.IntRange(0, 6).Draw(t, "hosts"))
		need := Need{Size: cores(rapid.Int64Range(1, 9).Draw(t, "size")), Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
			Together: rapid.Bool().Draw(t, "together"), Budget: rapid.Float64Range(0, 60).Draw(t, "budget")}
		for i := range hosts {
			hosts[i] = Host{Free: cores(rapid.Int64Range(-3, 12).Draw(t, "free")), MaxTasks: rapid.IntRange(0, 4).Draw(t, "most"),
				Victims: victims(rapid.SliceOfN(rapid.Int64Range(0, 9), 0, 6).Draw(t, "victims")...)}
			for v := range hosts[i].Victims {
				hosts[i].Victims[v].Misses = rapid.Bool().Draw(t, "misses")
			}
		}
		r := Choose(hosts, need)
		loss, seen := 0.0, make(map[Choice]bool)
		for _, c := range r.Choices {
			v := &hosts[c.Host].Victims[c.Victim]
			if v.Misses || seen[c] {
				t.Fatalf("%+v is stopped twice, or would miss its objective", c)
			}
			loss, seen[c] = loss+v.Loss, true
			hosts[c.Host].Free = hosts[c.Host].Free.Add(v.Size)
		}
		slots := 0
		for i := range hosts {
			slots += need.slots(&hosts[i], hosts[i].Free)
		}
		switch {
		case loss != r.Loss || loss > need.Budget:
			t.Fatalf("the loss is %v, said to be %v of %v", loss, r.Loss, need.Budget)
		case min(slots, need.Tasks) < r.Tasks:
			t.Fatalf("%d tasks are said to have room, %d have", r.Tasks, slots)
		case need.Together && len(r.Choices) > 0 && r.Tasks < need.Tasks:
			t.Fatalf("runs are stopped for %d tasks of a gang of %d", r.Tasks, need.Tasks)
		}
	})
}
