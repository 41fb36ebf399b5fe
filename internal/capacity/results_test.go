package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestBudgetsExtrapolate(t *testing.T) {
	s := Series{Name: "directory", X: "instances"}
	for _, x := range []float64{0, 1000, 2000, 3000} {
		s.Points = append(s.Points, Point{X: x, Values: map[string]float64{valueList: 50 + 100*x, valueCPU: 1 + x/1000}})
	}
	var r Results
	r.Merge([]Series{{Name: "directory"}})
	r.Merge([]Series{s})
	got := map[string]Row{}
	for _, row := range r.Budgets() {
		got[row.Role+" "+row.Value] = row
	}
	const base, directory = 3, 2
	if len(got) != base+directory {
		t.Errorf("rows of series that were not measured: %v", got)
	}
	const instances = designWorkers + designDaemons
	for name, want := range map[string]float64{
		"daemon without any load CPU, % of a core":                     1,
		"daemon without any load bytes/s":                              50,
		"directory: instances in the platform's list CPU, % of a core": instances / 1000.0,
		"directory: instances in the platform's list bytes/s":          100 * instances,
	} {
		if c := got[name].Computed; c < want*0.999 || c > want*1.001 {
			t.Errorf("%s is %v, want %v", name, c, want)
		}
	}
	var out bytes.Buffer
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "directory: instances in the platform's list") {
		t.Errorf("printed %q, %v", out.String(), err)
	}
}

func TestSumNeedsEveryComponent(t *testing.T) {
	var r Results
	want := reportCPUPercent
	names := map[string]float64{"config-direct": 0}
	for _, p := range holderComponents() {
		names[p.series] += p.size
	}
	for name, size := range names {
		s := Series{Name: name}
		for _, x := range []float64{0, 1, 1000} {
			s.Points = append(s.Points, Point{X: x, Values: map[string]float64{valueCPU: x, valueRSS: 5, "log_bytes_per_change": x}})
		}
		r.Merge([]Series{s})
		want += size
	}
	sum := func() (cpu float64, ok bool) {
		for _, row := range r.Budgets() {
			if strings.HasPrefix(row.Role, "sum") && row.Value == rowCPU {
				return row.Computed, true
			}
		}
		return 0, false
	}
	if got, ok := sum(); !ok || got < want*0.999 || got > want*1.001 {
		t.Errorf("the sum is %v, %v; want %v", got, ok, want)
	}
	r.Series = r.Series[1:]
	if _, ok := sum(); ok {
		t.Error("a sum although one component was not measured")
	}
}

func TestSaturatingComponentsAreInterpolated(t *testing.T) {
	tail, jobs := Series{Name: "tail-relay"}, Series{Name: "holder-jobs"}
	for x, cpu := range map[float64]float64{0: 2, 100: 6, 200: 6, 400: 8} {
		tail.Points = append(tail.Points, Point{X: x, Values: map[string]float64{valueCPU: cpu}})
	}
	slices.SortFunc(tail.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	for _, p := range [][2]float64{{2, 6}, {20, 10}, {80, 10}} {
		jobs.Points = append(jobs.Points, Point{X: p[0], Values: map[string]float64{valueAppends: p[1]}})
	}
	var r Results
	r.Merge([]Series{tail, jobs})
	want := map[string]float64{
		"log tail by relay at the appends' budget":    5,
		"log appends of jobs, mean of a day":          3.0 * designJobsPerDay / secondsPerDay,
		"log appends of jobs, all starts of the peak": 10 * designZones,
	}
	for _, row := range r.Budgets() {
		if w, ok := want[row.Role]; ok && row.Value != rowBytes {
			if row.Computed < w*0.999 || row.Computed > w*1.001 {
				t.Errorf("%s is %v, want %v", row.Role, row.Computed, w)
			}
			delete(want, row.Role)
		}
	}
	if len(want) > 0 {
		t.Errorf("no rows for %v", want)
	}
}

// TestPageMatchesMeasuredResults checks that the budget table of
// docs/CAPACITY.md is the one computed from the stored results.
func TestPageMatchesMeasuredResults(t *testing.T) {
	data, err := os.ReadFile("measured.json")
	if err != nil {
		t.Fatal(err)
	}
	var r Results
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := r.Budgets()
	if len(rows) == 0 {
		t.Fatal("the stored results give no rows")
	}
	for _, row := range rows {
		if !strings.Contains(string(page), "\n"+row.String()+"\n") {
			t.Errorf("docs/CAPACITY.md lacks the row, or has another figure:\n%s", row)
		}
	}
}

func TestFiguresHaveThreeDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.9806: "0.981", 3.6: "3.6", 999: "999", 1000: "1000", 7674.6: "7670", 1185432: "1190000"} {
		if got := formatFigure(v); got != want {
			t.Errorf("%v is written %s, want %s", v, got, want)
		}
	}
}

func TestMeasureNamesTheChoices(t *testing.T) {
	b := &Bench{}
	if _, err := b.Measure("nothing"); err == nil || !strings.Contains(err.Error(), "failover") {
		t.Errorf("got %v", err)
	}
}

func TestMeterCountsBytesAndFirstRequests(t *testing.T) {
	m := newMeter()
	body := strings.Repeat("x", 10_000)
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	for _, name := range []string{"a", "b"} {
		s, err := serveMetered(name, answer, m)
		if err != nil {
			t.Fatal(err)
		}
		defer s.close()
		for range 2 {
			resp, err := http.Get("http://" + s.address + "/path")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
	}
	n, earliest, latest := m.firstRequests("/path")
	if n != 2 || !earliest.Before(latest) || m.requestCount("/path") != 4 || m.requestCount("") != 4 {
		t.Errorf("servers %d, requests %d", n, m.requestCount("/path"))
	}
	if got := m.bytes.Load(); got < 40_000 || got > 44_000 {
		t.Errorf("counted %d bytes of 40,000 and their headers", got)
	}
	m.resetFirstRequests()
	if n, _, at := m.firstRequests("/path"); n != 0 || !at.Equal(time.Time{}) {
		t.Errorf("%d servers after the reset", n)
	}
}

func TestStateSnapshotsGrowWithJobs(t *testing.T) {
	var sizes []float64
	for _, n := range []int{10, 20} {
		w, zone, epoch, err := newStateWriter(2)
		if err != nil {
			t.Fatal(err)
		}
		for i := range n {
			if err := w.writeJob(zone, epoch, i, false); err != nil {
				t.Fatal(err)
			}
		}
		sizes = append(sizes, snapshotBytes(w.state.SnapshotZone(zone)))
	}
	if sizes[0] <= 0 || sizes[1] < 1.5*sizes[0] {
		t.Errorf("snapshots of %v bytes", sizes)
	}
}
