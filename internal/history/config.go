package history

import "fmt"

// ConfigInForce checks that
//   - a daemon that is queried later than ConfigBound after a configuration was
//     accepted reports that version or a later one, unless it reports itself as
//     stale or has no configuration yet;
//   - no daemon reports an older version than it did before;
//   - a version has the same text in every daemon;
//   - no two accepted publications replaced the same version.
func ConfigInForce(events []Event, _ Options) []Violation {
	c := configCheck{
		replaced: map[uint64]Event{},
		text:     map[uint64]Event{},
		highest:  map[string]Event{},
	}
	for _, e := range sorted(events) {
		switch e.Kind {
		case ConfigPublished:
			c.checkPublished(e)
		case ConfigObserved:
			c.checkObserved(e)
		}
	}
	return c.found
}

// configCheck is the state of ConfigInForce: the accepted publications, by
// replaced version too, the latest observation of each version's text, and the
// highest version that each daemon reported.
type configCheck struct {
	accepted []Event
	replaced map[uint64]Event
	text     map[uint64]Event
	highest  map[string]Event
	found    []Violation
}

func (c *configCheck) checkPublished(e Event) {
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

func (c *configCheck) checkObserved(e Event) {
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
