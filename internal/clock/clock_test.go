package clock

import (
	"testing"
	"time"
)

func TestSystemAdvances(t *testing.T) {
	c := System()
	before := c.Now()
	time.Sleep(5 * time.Millisecond)
	if passed := c.Now() - before; passed < 5*time.Millisecond || passed > time.Minute {
		t.Errorf("5 ms of sleep read as %s", passed)
	}
}
