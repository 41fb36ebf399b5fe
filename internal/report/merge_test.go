package report

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/google/go-cmp/cmp"
)

// begin is the hour at which the tests' time starts.
var begin = time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)

func objectives(queue string) (Objective, bool) {
	return Objective{Within: 100 * time.Millisecond, Target: 0.99}, queue != "gone"
}

// events feeds n random events to the collectors, each to one of them and all
// to whole.
func events(seed uint64, n, teams, queues int, whole *Collector, parts []*Collector) {
	rng := rand.New(rand.NewPCG(seed, 1))
	codes := []problem.Code{"", problem.QueueFull, problem.OutcomeLost, problem.TaskFailed}
	verdicts := []problem.Verdict{problem.Done, problem.NotRun, problem.Unknown, problem.Unknown}
	causes := []string{"queueing", "limit", "failover", "new in a later version"}
	for range n {
		// The square makes some teams much larger than others.
		u := rng.Float64()
		team := fmt.Sprintf("team-%03d", (int(u*u*float64(teams))+11*int(seed))%teams)
		queue := fmt.Sprintf("queue-%d", rng.IntN(queues))
		waited := time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond))
		cause, outcome := causes[rng.IntN(len(causes))], rng.IntN(len(codes))
		for _, c := range []*Collector{whole, parts[rng.IntN(len(parts))]} {
			c.Started(team, queue, waited, cause)
			c.Answered(team, queue, verdicts[outcome], codes[outcome])
		}
		if rng.IntN(100) == 0 {
			whole.Lost(team, queue)
			parts[0].Lost(team, queue)
		}
	}
}

// summarize encodes and decodes what a collector counted in a zone up to end.
func summarize(t testing.TB, c *Collector, zone string, end time.Time, budget int) *Summary {
	t.Helper()
	data, err := Encode(c.TakeSeries(), budget)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > budget {
		t.Fatalf("summary of %d bytes is over the budget of %d", len(data), budget)
	}
	s, err := Decode(&record.Report{Zone: zone, Epoch: 1, StartMS: unixMS(end.Add(-time.Minute)), EndMS: unixMS(end), Series: data})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMergeOverDaemonsEqualsWhole(t *testing.T) {
	whole, merged := NewStore(), NewStore()
	for seed := range uint64(5) {
		end := begin.Add(time.Duration(seed+1) * time.Minute)
		all := NewCollector(objectives)
		parts := []*Collector{NewCollector(objectives), NewCollector(objectives), NewCollector(objectives)}
		events(seed, 2000, 8, 3, all, parts)
		whole.Fold(summarize(t, all, "a", end, maxBudget), end)
		for _, p := range parts {
			merged.Fold(summarize(t, p, "a", end, maxBudget), end)
		}
	}
	now := begin.Add(6 * time.Minute)
	want, got := whole.Build(now, 1, []string{"a"}, objectives), merged.Build(now, 1, []string{"a"}, objectives)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("merged report differs (-whole +merged):\n%s", diff)
	}
	if len(want.Rows) != 24 {
		t.Errorf("%d rows, want 24", len(want.Rows))
	}
	starts := Ratio{}
	for i := range want.Rows {
		starts.add(want.Rows[i].Indicators[0].Windows[4].Ratio)
	}
	if starts.Total < 10000 || starts.Bad == 0 || starts.Bad >= starts.Total {
		t.Errorf("starts %+v of 10000 events", starts)
	}
}

func TestCauses(t *testing.T) {
	c := NewCollector(objectives)
	c.Started("t", "q", 100*time.Millisecond, "limit")
	c.Started("t", "q", 101*time.Millisecond, "limit")
	c.Answered("t", "q", problem.Done, "")
	c.Answered("t", "q", problem.NotRun, problem.QueueFull)
	c.Answered("t", "q", problem.NotRun, problem.NeverRunnable)
	c.Answered("t", "q", problem.Unknown, problem.LogOutcomeUnknown)
	c.Answered("t", "q", problem.Unknown, problem.TaskFailed)
	c.Answered("t", "q", problem.NotRun, problem.Cancelled)
	c.Lost("t", "q")
	got := c.TakeSeries()[Key{"t", "q"}].Counts
	want := Counts{Started: 2, NeverStarted: 1, Answered: 6, Lost: 1}
	want.LateBy[CauseLimit], want.LateBy[CauseNoCapacity] = 1, 1
	want.FailedBy[CauseNoCapacity], want.FailedBy[CauseStore] = 1, 1
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if start := got.Start(); start != (Ratio{2, 3}) {
		t.Errorf("starts %+v, want 2 of 3 bad", start)
	}
}

// queueTotals adds up the starts of each queue over all teams.
func queueTotals(series map[Key]*Series) map[string]Ratio {
	out := make(map[string]Ratio)
	for k, s := range series {
		r := out[k.Queue]
		r.add(s.Counts.Start())
		out[k.Queue] = r
	}
	return out
}

// TestBoundsAtDesignSize holds 220 teams and 10 queues against the bounds, and
// queues' totals against what was counted.
func TestBoundsAtDesignSize(t *testing.T) {
	whole, part := NewCollector(objectives), NewCollector(objectives)
	events(7, 100_000, 220, 10, whole, []*Collector{part})
	counted := whole.TakeSeries()
	budget := SummaryBudget(time.Minute)
	s := summarize(t, part, "a", begin, budget)
	t.Logf("%d series, budget %d bytes a minute, %d rows kept", len(counted), budget, len(s.Series))
	if len(counted) < 2000 || len(s.Series) >= len(counted) {
		t.Fatalf("%d of %d series kept", len(s.Series), len(counted))
	}
	if diff := cmp.Diff(queueTotals(counted), queueTotals(s.Series)); diff != "" {
		t.Errorf("totals of queues (-counted +recorded):\n%s", diff)
	}
	store := NewStore()
	all := &Summary{Zone: "a", StartMS: unixMS(begin.Add(-time.Minute)), EndMS: unixMS(begin), Series: counted}
	store.Fold(all, begin)
	b := store.hours.at(all.EndMS - 1)
	starts, wantStarts := Ratio{}, Ratio{}
	for i := range b.tallies {
		starts.add(b.tallies[i].counts.Start())
	}
	for _, r := range queueTotals(counted) {
		wantStarts.add(r)
	}
	if len(b.tallies) > maxTallies || starts != wantStarts {
		t.Errorf("%d tallies with starts %+v, want at most %d and %+v", len(b.tallies), starts, maxTallies, wantStarts)
	}
}

// TestTinyBudget checks that even one row per queue gives way to the budget.
func TestTinyBudget(t *testing.T) {
	whole, part := NewCollector(objectives), NewCollector(objectives)
	events(3, 5000, 20, 200, whole, []*Collector{part})
	var want Ratio
	for _, r := range queueTotals(whole.TakeSeries()) {
		want.add(r)
	}
	s := summarize(t, part, "a", begin, 300)
	if got := queueTotals(s.Series)[Other]; len(s.Series) != 1 || got != want {
		t.Errorf("%d rows with %+v, want one with %+v", len(s.Series), got, want)
	}
}

// zoneSummaries are summaries of 19 zones over the same period, each of other
// events of 220 teams on 10 queues.
func zoneSummaries(b *testing.B) []*Summary {
	var out []*Summary
	for zone := range 19 {
		whole, part := NewCollector(objectives), NewCollector(objectives)
		events(uint64(zone), 10_000, 220, 10, whole, []*Collector{part})
		out = append(out, summarize(b, part, fmt.Sprint("zone-", zone), begin, SummaryBudget(time.Minute)))
	}
	return out
}

// BenchmarkStoreAtDesignSize folds 30 days of hours, then 6 h of minutes of 19
// zones, so that all buckets are full, and reports the memory held, the time of
// a fold and that of a report.
func BenchmarkStoreAtDesignSize(b *testing.B) {
	for range b.N {
		summaries := zoneSummaries(b)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := NewStore()
		folds, folding := 0, time.Now()
		fold := func(end time.Time) {
			for _, s := range summaries {
				s.StartMS, s.EndMS = unixMS(end.Add(-time.Minute)), unixMS(end)
				store.Fold(s, end)
				folds++
			}
		}
		for hour := range int(hourReach / time.Hour) {
			fold(begin.Add(time.Duration(hour) * time.Hour))
		}
		now := begin.Add(hourReach)
		for minute := range int(fineReach / fineWidth) {
			fold(now.Add(time.Duration(minute) * time.Minute))
		}
		b.ReportMetric(float64(time.Since(folding).Microseconds())/float64(folds), "us/fold")
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(store)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
		started := time.Now()
		view := store.Build(now.Add(fineReach), 1, nil, objectives)
		b.ReportMetric(float64(time.Since(started).Milliseconds()), "ms/report")
		b.ReportMetric(float64(len(view.Rows)), "rows")
	}
}

// BenchmarkSummaryAtDesignSize measures one period's summary of a zone.
func BenchmarkSummaryAtDesignSize(b *testing.B) {
	for range b.N {
		b.StopTimer()
		whole, part := NewCollector(objectives), NewCollector(objectives)
		events(7, 100_000, 220, 10, whole, []*Collector{part})
		b.StartTimer()
		data, err := Encode(whole.TakeSeries(), SummaryBudget(time.Minute))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes/period")
	}
}

// BenchmarkStarted measures what a start costs the holder.
func BenchmarkStarted(b *testing.B) {
	c := NewCollector(objectives)
	for b.Loop() {
		c.Started("team-001", "queue-1", 40*time.Millisecond, "queueing")
	}
}
