package capacity

import (
	"encoding/json"
	"testing"
	"time"
)

func TestParseCPUSkipsTheCommandName(t *testing.T) {
	got, err := parseCPU("42 (a) b (c) S 1 42 42 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 9 0 100 1 1")
	if err != nil || got != 3 {
		t.Errorf("got %v, %v; want 3 seconds", got, err)
	}
	for _, bad := range []string{"", "42 (a) S 1", "42 (a) S 1 42 42 0 -1 4194560 100 0 0 0 x 50 0"} {
		if _, err := parseCPU(bad); err == nil {
			t.Errorf("accepted %q", bad)
		}
	}
}

func TestParseRSS(t *testing.T) {
	got, err := parseRSS("Name:\tx\nVmPeak:\t   900 kB\nVmRSS:\t   512 kB\n")
	if err != nil || got != 512*1024 {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := parseRSS("Name:\tx\n"); err == nil {
		t.Error("accepted a status without VmRSS")
	}
}

func TestRecordConfigInForceReadsVersions(t *testing.T) {
	p := &process{inForce: map[uint64]time.Time{}}
	at := time.Now()
	p.recordConfigInForce(`time=2026-12-04T07:00:00Z level=INFO msg="configuration in force" instance=d version=17`, at)
	p.recordConfigInForce(`time=2026-12-04T07:00:00Z level=INFO msg="term begins" version=18`, at)
	if got, ok := p.inForceAt(17); !ok || !got.Equal(at) {
		t.Error("version 17 was not noted")
	}
	if _, ok := p.inForceAt(18); ok {
		t.Error("another line was taken for a configuration")
	}
}

func TestFlattenNamesNestedNumbers(t *testing.T) {
	var in map[string]any
	if err := json.Unmarshal([]byte(`{"a":1,"g":{"x":2,"s":"text"},"l":[3]}`), &in); err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	flatten("", in, out)
	if len(out) != 2 || out["a"] != 1 || out["g.x"] != 2 {
		t.Errorf("got %v", out)
	}
}

func TestRatesArePerSecond(t *testing.T) {
	now := time.Now()
	a := sample{at: now, cpu: 1, vars: map[string]float64{"peer_bytes_total.zone": 100, "log_appends_total.jobs": 4}}
	b := sample{at: now.Add(2 * time.Second), cpu: 1.5, rss: 3 << 20, endpoint: 400, vars: map[string]float64{
		"peer_bytes_total.zone": 300, "peer_bytes_total.region": 50, "log_appends_total.jobs": 10, "log_appends_total.roster": 2,
	}}
	got := rates(a, b)
	for name, want := range map[string]float64{
		valueCPU: 25, valueRSS: 3, valueEndpoint: 200, valuePeer: 125, valueAppends: 4, "appends_jobs_s": 3, "appends_roster_s": 1,
	} {
		if got[name] != want {
			t.Errorf("%s is %v, want %v", name, got[name], want)
		}
	}
}
