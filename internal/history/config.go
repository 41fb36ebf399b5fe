package history

import "fmt"

// ConfigInForce checks that a daemon that is asked later than ConfigBound
// after a configuration was accepted reports it or a later one, unless it
// reports itself stale or has none yet; that no daemon ever reports an older
// version than before; that one version has one text everywhere; and that no
// two accepted publications replaced the same version.
func ConfigInForce(events []Event, _ Options) []Violation {
	c := configCheck{
		replaced: map[uint64]Event{},
		text:     map[uint64]Event{},
		highest:  map[string]Event{},
	}
	for _, e := range sorted(events) {
		switch e.Kind {
		case ConfigPublished:
			c.published(e)
		case ConfigObserved:
			c.observed(e)
		}
	}
	return c.found
}

type configCheck struct {
	accepted []Event
	replaced map[uint64]Event
	text     map[uint64]Event
	highest  map[string]Event
	found    []Violation
}

func (c *configCheck) published(e Event) {
	c.accepted = append(c.accepted, e)
	if e.Expected == 0 {
		return
	}
	if other, taken := c.replaced[e.Expected]; taken && other.Version != e.Version {
		c.report(fmt.Sprintf("versions %d and %d were both accepted in place of %d", other.Version, e.Version, e.Expected), other, e)
		return
	}
	c.replaced[e.Expected] = e
}

func (c *configCheck) observed(e Event) {
	if e.Version == 0 {
		return
	}
	if before, known := c.highest[e.Daemon]; known && e.Version < before.Version {
		c.report(fmt.Sprintf("daemon %s reverted from version %d to %d", e.Daemon, before.Version, e.Version), before, e)
	} else {
		c.highest[e.Daemon] = e
	}
	if e.InputSum != "" {
		if other, known := c.text[e.Version]; known && other.InputSum != e.InputSum {
			c.report(fmt.Sprintf("version %d differs between %s and %s", e.Version, other.Daemon, e.Daemon), other, e)
		}
		c.text[e.Version] = e
	}
	if e.State == StateStale {
		return
	}
	for _, p := range c.accepted {
		if e.Version < p.Version && e.UnixNano > p.UnixNano+int64(ConfigBound) {
			c.report(fmt.Sprintf("daemon %s has version %d more than %s after %d was accepted", e.Daemon, e.Version, ConfigBound, p.Version), p, e)
			return
		}
	}
}

func (c *configCheck) report(detail string, evidence ...Event) {
	c.found = append(c.found, Violation{Promise: PromiseConfig, Detail: detail, Events: evidence})
}
