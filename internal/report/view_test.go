package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// oneHour returns a store with bad starts of a team in the last hour.
func oneHour(t *testing.T, team string) (*Store, time.Time) {
	c, store := NewCollector(objectives), NewStore()
	now := begin.Add(30 * time.Minute)
	for minute := range 30 {
		for range 10 {
			c.Started(team, "urgent", time.Second, "limit")
			c.Answered(team, "urgent", problem.Done, "")
		}
		end := begin.Add(time.Duration(minute+1) * time.Minute)
		store.Fold(summarize(t, c, "a", end, maxBudget), end)
	}
	return store, now
}

func TestHTMLEscapes(t *testing.T) {
	hostile := `</title><script>alert("x")</script>'"&`
	store, now := oneHour(t, hostile)
	var page bytes.Buffer
	if err := WriteHTML(&page, store.Build(now, 7, []string{hostile}, objectives)); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if strings.Contains(text, "<script") || !strings.Contains(text, "&lt;script&gt;") {
		t.Error("a team's name is not escaped")
	}
	for _, want := range []string{"100.00", "class=\"alert\">fast", "limit 300", "class=\"bad\"", "class=\"empty\"", "300 of 300 bad, 0% of the hour covered"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, outside := range []string{"src=", "href=", "url(", "@import"} {
		if strings.Contains(text, outside) {
			t.Errorf("the page refers to another file by %q", outside)
		}
	}
	// The drawings are well-formed XML.
	_, svg, found := strings.Cut(text, "<svg")
	if !found {
		t.Fatal("no plot")
	}
	svg, _, _ = strings.Cut(svg, "</svg>")
	d := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>"))
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

func TestAlarmsLogEachCrossingOnce(t *testing.T) {
	store, now := oneHour(t, "press")
	var lines bytes.Buffer
	alarms := NewAlarms(slog.New(slog.NewTextHandler(&lines, nil)))
	for range 3 {
		alarms.Update(store.Build(now, 1, nil, objectives), true)
	}
	if n := strings.Count(lines.String(), "service-level alert"); n != 1 {
		t.Errorf("%d lines, want 1:\n%s", n, lines.String())
	}
	if !strings.Contains(lines.String(), "alert=fast") || !strings.Contains(lines.String(), "cause=limit") {
		t.Errorf("line lacks the alert or the cause: %s", lines.String())
	}
	later := now.Add(4 * 24 * time.Hour)
	for range 3 {
		alarms.Update(store.Build(later, 1, nil, objectives), true)
	}
	if n := strings.Count(lines.String(), "service-level alert over"); n != 1 {
		t.Errorf("%d lines of the end, want 1:\n%s", n, lines.String())
	}
}

func TestQueueWithoutObjectiveHasNoBurn(t *testing.T) {
	c, store := NewCollector(objectives), NewStore()
	c.Started("press", "gone", time.Hour, "limit")
	store.Fold(summarize(t, c, "a", begin, maxBudget), begin)
	row := store.Build(begin, 1, nil, objectives).Rows[0]
	if row.Configured || row.Indicators[0].Alert != NoAlert || row.Indicators[0].Windows[1].Total != 1 || row.Indicators[0].Windows[1].Burn != 0 {
		t.Errorf("row %+v", row)
	}
}

// TestLongPeriodStaysOutOfShortWindows checks that an hour's events are not
// shown as those of five minutes.
func TestLongPeriodStaysOutOfShortWindows(t *testing.T) {
	c, store := NewCollector(objectives), NewStore()
	c.Started("press", "urgent", time.Hour, "limit")
	s := summarize(t, c, "a", begin, maxBudget)
	s.StartMS = s.EndMS - time.Hour.Milliseconds()
	store.Fold(s, begin)
	windows := store.Build(begin, 1, nil, objectives).Rows[0].Indicators[0].Windows
	if !windows[0].Skipped || windows[0].Total != 0 || windows[1].Skipped || windows[1].Total != 1 {
		t.Errorf("windows %+v", windows)
	}
}

func TestDecodeRefusesWhatIsOutOfBounds(t *testing.T) {
	c := NewCollector(objectives)
	c.Started("press", "urgent", time.Second, "")
	good, err := Encode(c.TakeSeries(), maxBudget)
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Replace(good, []byte{0x84, 0, 0}, []byte{0x84, 7, 0}, 1)
	for name, r := range map[string]record.Report{
		"unknown team":   {StartMS: 1, EndMS: 2, Series: bad},
		"cut off":        {StartMS: 1, EndMS: 2, Series: good[:len(good)-1]},
		"ends too early": {StartMS: 2, EndMS: 2, Series: good},
	} {
		if _, err := Decode(&r); err == nil {
			t.Errorf("%s: decoded", name)
		}
	}
	if _, err := Decode(&record.Report{StartMS: 1, EndMS: 2, Series: good}); err != nil {
		t.Error(err)
	}
}
