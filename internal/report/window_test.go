package report

import (
	"testing"
	"time"
)

// startsAt folds n bad starts over a minute that ends at end.
func startsAt(t *testing.T, s *Store, n int, end, now time.Time) bool {
	c := NewCollector(objectives)
	for range n {
		c.Started("press", "urgent", time.Second, "limit")
	}
	return s.Fold(summarize(t, c, "a", end, maxBudget), now)
}

func TestWindows(t *testing.T) {
	store := NewStore()
	now := begin.Add(40 * 24 * time.Hour)
	for age, n := range map[time.Duration]int{
		0: 1, 4 * time.Minute: 2, 5 * time.Minute: 4, 59 * time.Minute: 8, time.Hour: 16,
		6*time.Hour - time.Minute: 32, 6 * time.Hour: 64, 71 * time.Hour: 128, 72 * time.Hour: 256, 30*24*time.Hour - time.Hour: 512,
	} {
		// The buckets of a summary are those in which its period ends.
		end := now.Add(time.Millisecond - age)
		startsAt(t, store, n, end, end)
	}
	indicator := store.Build(now, 1, nil, objectives).Rows[0].Indicators[0]
	for i, want := range []uint64{3, 15, 63, 255, 1023} {
		if got := indicator.Windows[i].Bad; got != want {
			t.Errorf("%s: %d bad starts, want %d", indicator.Windows[i].Window, got, want)
		}
	}
	if got := indicator.Worst; len(got) != 3 || got[0].Bad != 512 || got[1].Bad != 256 || got[2].Bad != 128 {
		t.Errorf("worst hours %+v", got)
	}
}

// TestOldBucketsAreReplaced lets rings and waiting times go around.
func TestOldBucketsAreReplaced(t *testing.T) {
	store := NewStore()
	startsAt(t, store, 3, begin, begin)
	now := begin.Add(hourReach)
	startsAt(t, store, 1, now, now)
	row := store.Build(now, 1, nil, objectives).Rows[0]
	for _, w := range row.Indicators[0].Windows {
		if w.Total != 1 {
			t.Errorf("%s: %d starts, want the newest", w.Window, w.Total)
		}
	}
	if row.Waits != 1 {
		t.Errorf("%d waiting times, want the newest", row.Waits)
	}
	if startsAt(t, store, 1, begin, now) || startsAt(t, store, 1, now.Add(time.Hour), now) {
		t.Error("a summary of the past, or of the future, is taken")
	}
	if got := store.Build(now, 1, nil, objectives).Rows[0].Waits; got != 1 {
		t.Errorf("%d waiting times after that, want 1", got)
	}
}

// TestOtherIsKeptTogether has the collector merge teams before the encoding
// merges more of them into the same series.
func TestOtherIsKeptTogether(t *testing.T) {
	c := NewCollector(objectives)
	for range 3 {
		c.Started(Other, "urgent", time.Second, "limit")
	}
	for team := range 40 {
		c.Started(string(rune('a'+team)), "urgent", time.Minute, "")
	}
	s := summarize(t, c, "a", begin, 150)
	merged := s.Series[Key{Other, "urgent"}]
	if got := queueTotals(s.Series)["urgent"]; got != (Ratio{43, 43}) || len(s.Series) < 2 || len(s.Series) > 20 {
		t.Errorf("%d rows with starts %+v, want a few with 43", len(s.Series), got)
	}
	if waits := merged.Waits.TotalCount(); waits != int64(merged.Counts.Started) || merged.Waits.ValueAtPercentile(1) > 2000 || merged.Waits.Max() < 59_000 {
		t.Errorf("%d waiting times of %d starts", waits, merged.Counts.Started)
	}
}
