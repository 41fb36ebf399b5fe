package operator

import "fmt"

// Warnings names what Validate accepts and an operator rarely means. Like
// errors, each names its remedy.
func Warnings(c *Config) []string {
	c = c.Canonical()
	var out []string
	if !hasLiveOperatorKey(c) {
		out = append(out, "no operator key is live: nobody can administer the cell once this is in force; grant one")
	}
	if len(c.Zones) > 0 && allDrained(c.Zones) {
		out = append(out, "every zone is drained: no new work is placed; set drain = false in one")
	}
	for _, q := range c.Queues {
		if q.StartObjective > q.Deadline {
			out = append(out, fmt.Sprintf(
				"queue %q: its start objective %s is longer than its deadline %s, so that it can't be missed; shorten it",
				q.Name, q.StartObjective, q.Deadline))
		}
	}
	return out
}

func hasLiveOperatorKey(c *Config) bool {
	for _, k := range c.Keys {
		if k.Operator && !k.Withdrawn {
			return true
		}
	}
	return false
}

func allDrained(zones []Zone) bool {
	for _, z := range zones {
		if !z.Drain {
			return false
		}
	}
	return true
}
