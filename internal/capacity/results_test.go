package capacity

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestBudgetsExtrapolate(t *testing.T) {
	s := Series{Name: "directory", X: "instances"}
	for _, x := range []float64{0, 1000, 2000, 3000} {
		s.Points = append(s.Points, Point{X: x, Values: map[string]float64{valueList: 100 * x, valueCPU: 1 + x/1000}})
	}
	var r Results
	r.Merge([]Series{{Name: "directory"}})
	r.Merge([]Series{s})
	got := map[string]Row{}
	for _, row := range r.Budgets() {
		got[row.Role+" "+row.Value] = row
	}
	const base, directory, sum = 2, 2, 3
	if len(got) != base+directory+sum {
		t.Errorf("rows of series that were not measured: %v", got)
	}
	const instances = designWorkers + designDaemons
	for name, want := range map[string]float64{
		"daemon without any load cpu_percent":                    1,
		"directory: platform's whole list cpu_percent":           instances / 1000.0,
		"directory: platform's whole list bytes_s":               100 * instances,
		"sum: a holder that is a front door as well cpu_percent": 1 + instances/1000.0,
		"sum: a holder that is a front door as well bytes_s":     100 * instances,
	} {
		if c := got[name].Computed; c < want*0.999 || c > want*1.001 {
			t.Errorf("%s is %v, want %v", name, c, want)
		}
	}
	var out bytes.Buffer
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "directory: platform's whole list") {
		t.Errorf("printed %q, %v", out.String(), err)
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
	n, earliest, latest := m.firsts("/path")
	if n != 2 || !earliest.Before(latest) || m.requests("/path") != 4 || m.requests("") != 4 {
		t.Errorf("servers %d, requests %d", n, m.requests("/path"))
	}
	if got := m.bytes.Load(); got < 40_000 || got > 44_000 {
		t.Errorf("counted %d bytes of 40,000 and their headers", got)
	}
	m.reset()
	if n, _, at := m.firsts("/path"); n != 0 || !at.Equal(time.Time{}) {
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
			if err := w.job(zone, epoch, i, false); err != nil {
				t.Fatal(err)
			}
		}
		sizes = append(sizes, snapshotBytes(w.state.SnapshotZone(zone)))
	}
	if sizes[0] <= 0 || sizes[1] < 1.5*sizes[0] {
		t.Errorf("snapshots of %v bytes", sizes)
	}
}
