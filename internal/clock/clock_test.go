package clock

import (
	"testing"
	"time"
)

func TestSystemAdvances(t *testing.T) {
	c := System()
	before := c.Now()
	time.Sleep(5 * time.Millisecond)
	if elapsed := c.Now() - before; elapsed < 5*time.Millisecond || elapsed > time.Minute {
		t.Errorf("the clock advanced by %s during a sleep of 5 ms", elapsed)
	}
}
