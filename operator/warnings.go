package operator

import "fmt"

// Warnings describes settings that Validate accepts but that are rarely
// intended. Each warning says how to correct the setting.
func Warnings(c *Config) []string {
	c = c.Canonical()
	var out []string
	if !hasActiveOperatorKey(c) {
		out = append(out, "no operator key is active: nobody can administer the cell once this is in force; grant one")
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

func hasActiveOperatorKey(c *Config) bool {
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
