package report

import (
	"testing"
	"time"
)

// addBadStarts adds a summary with n late starts over the minute that ends at end.
func addBadStarts(t *testing.T, s *Store, n int, end, now time.Time) bool {
	c := NewCollector(objectives)
	for range n {
		c.Started("press", "urgent", time.Second, "limit")
	}
	return s.Add(summarize(t, c, "a", end, maxSummaryBytes), now)
}

func TestWindows(t *testing.T) {
	store := NewStore()
	now := testStart.Add(40 * 24 * time.Hour)
	for age, n := range map[time.Duration]int{
		0: 1, 4 * time.Minute: 2, 5 * time.Minute: 4, 59 * time.Minute: 8, time.Hour: 16,
		6*time.Hour - time.Minute: 32, 6 * time.Hour: 64, 71 * time.Hour: 128, 72 * time.Hour: 256, 30*24*time.Hour - time.Hour: 512,
	} {
		// The events of a summary go to the buckets in which its period ends.
		end := now.Add(time.Millisecond - age)
		addBadStarts(t, store, n, end, end)
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

// TestOldBucketsAreReplaced lets time pass until the ring buffers wrap around.
func TestOldBucketsAreReplaced(t *testing.T) {
	store := NewStore()
	addBadStarts(t, store, 3, testStart, testStart)
	now := testStart.Add(hourRetention)
	addBadStarts(t, store, 1, now, now)
	row := store.Build(now, 1, nil, objectives).Rows[0]
	for _, w := range row.Indicators[0].Windows {
		if w.Total != 1 {
			t.Errorf("%s: %d starts, want the newest", w.Window, w.Total)
		}
	}
	if row.Waits != 1 {
		t.Errorf("%d waiting times, want the newest", row.Waits)
	}
	if addBadStarts(t, store, 1, testStart, now) || addBadStarts(t, store, 1, now.Add(time.Hour), now) {
		t.Error("a summary from before the retention period or from the future was added")
	}
	if got := store.Build(now, 1, nil, objectives).Rows[0].Waits; got != 1 {
		t.Errorf("%d waiting times after that, want 1", got)
	}
}

// TestOtherIsKeptTogether encodes series of which one has the merged team's name
// already. The teams that the encoding merges must be added to it.
func TestOtherIsKeptTogether(t *testing.T) {
	c := NewCollector(objectives)
	for range 3 {
		c.Started(Other, "urgent", time.Second, "limit")
	}
	for team := range 40 {
		c.Started(string(rune('a'+team)), "urgent", time.Minute, "")
	}
	s := summarize(t, c, "a", testStart, 150)
	merged := s.Series[Key{Other, "urgent"}]
	if got := queueTotals(s.Series)["urgent"]; got != (Ratio{43, 43}) || len(s.Series) < 2 || len(s.Series) > 20 {
		t.Errorf("%d rows with starts %+v, want a few with 43", len(s.Series), got)
	}
	if waits := merged.Waits.TotalCount(); waits != int64(merged.Counts.Started) || merged.Waits.ValueAtPercentile(1) > 2000 || merged.Waits.Max() < 59_000 {
		t.Errorf("%d waiting times of %d starts", waits, merged.Counts.Started)
	}
}
