package fleet

import (
	"testing"
	"time"
)

// TestColdTimeCountsDown guards against an endpoint that stays cold because its entry is
// read again, and one that passes for warm because it became cold a second time.
func TestColdTimeCountsDown(t *testing.T) {
	e := &Endpoint{}
	for i, step := range []struct {
		now, left, until time.Duration
	}{
		{100 * time.Second, 0, 0},
		{101 * time.Second, 10 * time.Second, 111 * time.Second},
		{105 * time.Second, 10 * time.Second, 111 * time.Second}, // the same entry again
		{106 * time.Second, 3 * time.Second, 109 * time.Second},
		{107 * time.Second, 8 * time.Second, 115 * time.Second}, // cold again
		{108 * time.Second, 0, 108 * time.Second},
		{120 * time.Second, 5 * time.Second, 125 * time.Second},
	} {
		if e.ObserveCold(step.now, step.left) {
			t.Errorf("step %d exceeds the bound", i)
		}
		if e.Cold(step.until) || step.left > 0 && !e.Cold(step.until-1) {
			t.Errorf("step %d: not cold until %s", i, step.until)
		}
	}
	if e.WasCold(100*time.Second, 119*time.Second) || !e.WasCold(100*time.Second, 121*time.Second) || e.WasCold(126*time.Second, 127*time.Second) {
		t.Error("the cold time is from 120 to 125 s")
	}
}

// TestLongColdTimeIsNamedOnce guards against a log line for each entry of an endpoint that
// never warms up.
func TestLongColdTimeIsNamedOnce(t *testing.T) {
	e, named := &Endpoint{}, 0
	for at := time.Hour; at < 2*time.Hour; at += time.Second {
		if e.ObserveCold(at, 1<<62) {
			named++
		}
	}
	if named != 1 || e.Cold(time.Hour+MaxCold) {
		t.Errorf("named %d times, cold after the bound: %v", named, e.Cold(time.Hour+MaxCold))
	}
}

// TestRunTimeOnColdEndpoint guards against ends that are expected too early.
func TestRunTimeOnColdEndpoint(t *testing.T) {
	e := &Endpoint{}
	e.ObserveCold(time.Hour, 4*time.Second)
	for usual, want := range map[time.Duration]time.Duration{
		time.Second: 2 * time.Second, 2 * time.Second: 4 * time.Second, 10 * time.Second: 12 * time.Second,
	} {
		if got := e.RunTime(usual, time.Hour); got != want {
			t.Errorf("%s usually: %s, want %s", usual, got, want)
		}
	}
	if got := e.RunTime(time.Second, time.Hour+4*time.Second); got != time.Second {
		t.Errorf("once warm: %s", got)
	}
}
