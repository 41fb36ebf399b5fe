package loglist

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBreaker(2, time.Second)
	b.now = func() time.Time { return now }
	expect := func(step string, allowed bool, state BreakerState) {
		t.Helper()
		if got := b.allow(); got != allowed {
			t.Fatalf("%s: allow() = %v", step, got)
		}
		if got := b.state(); got != state {
			t.Fatalf("%s: state is %s, not %s", step, got, state)
		}
	}
	expect("at first", true, BreakerClosed)
	b.record(failed)
	expect("after one failure", true, BreakerClosed)
	b.record(abandoned)
	expect("after an abandoned attempt", true, BreakerClosed)
	b.record(failed)
	expect("after two failures", false, BreakerOpen)
	now = now.Add(time.Second)
	expect("after the cooldown", true, BreakerHalfOpen)
	expect("during the probe", false, BreakerHalfOpen)
	b.record(failed)
	expect("after a failed probe", false, BreakerOpen)
	now = now.Add(time.Second)
	expect("after the second cooldown", true, BreakerHalfOpen)
	b.record(succeeded)
	expect("after a successful probe", true, BreakerClosed)
}
