package capacity

import (
	"fmt"
	"time"

	"github.com/bluebellstile/bluebellstile/operator"
)

// Names and settings of the configuration that the measurements use.
const (
	benchTeam    = "bench"
	benchSecret  = "bench-secret"
	requestQueue = "bench-requests"
	jobQueue     = "bench-jobs"
	// requestDeadline is longer than any measurement.
	requestDeadline = 10 * time.Minute
	// ampleLimit is an upper limit that no measurement reaches.
	ampleLimit = 1 << 20
)

// configFor returns a configuration of the zones with one team that generates
// the load, whose upper limit is limit, and otherTeams further teams with a key
// and a queue each.
func configFor(zones []zoneSize, limit int64, otherTeams int) *operator.Config {
	c := &operator.Config{
		Teams: []operator.Team{{Name: benchTeam, Share: 1, UpperLimit: limit}},
		Keys:  []operator.Key{{ID: "bench-1", Team: benchTeam, SHA256: operator.HashSecret(benchSecret)}},
		Queues: []operator.Queue{
			{
				Name: requestQueue, Class: operator.ClassUrgent, Teams: []string{benchTeam}, Runner: true,
				Idempotent: true, Deadline: requestDeadline, Spill: operator.SpillStay,
				MaxWaiting: maxInFlight,
			},
			{Name: jobQueue, Class: operator.ClassBatch, Teams: []string{benchTeam}, Idempotent: true},
		},
	}
	for _, z := range zones {
		c.Zones = append(c.Zones, operator.Zone{Name: z.name, Region: z.region})
	}
	for i := range otherTeams {
		name := fmt.Sprintf("team-%03d", i)
		c.Teams = append(c.Teams, operator.Team{Name: name, Share: 1, UpperLimit: 100})
		c.Keys = append(c.Keys, operator.Key{ID: name + "-1", Team: name, SHA256: operator.HashSecret(name)})
		c.Queues = append(c.Queues, operator.Queue{
			Name: name + "-batch", Class: operator.ClassBatch, Teams: []string{name}, Idempotent: true,
		})
	}
	return c
}
