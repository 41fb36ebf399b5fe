// Command bluemahoe prints the configuration of Blue Mahoe Linen Works, which
// plans routes, sorts soiled lots and bills hotels, cookshops and jerk stands.
//
// Publish it with:
//
//	go run ./example/bluemahoe > cell.ini
//	bluebellstile config diff in-force.ini cell.ini
//	bluebellstile config publish cell.ini
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bluebellstile/bluebellstile/operator"
)

// Names of the teams. Hotels have their peak load in the morning, kitchens at
// night.
const (
	palmHotel  = "palm-hotel"
	reefHotel  = "reef-hotel"
	guesthouse = "seawall-guesthouse"
	cookshops  = "cookshops"
	jerkStands = "jerk-stands"
	office     = "office"
)

func main() {
	text, err := operator.Print(configuration())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(text)
}

// configuration returns the configuration of the whole cell.
func configuration() *operator.Config {
	return &operator.Config{
		Zones: []operator.Zone{
			{Name: "montego-bay-1", Region: "saint-james"},
			{Name: "ocho-rios-1", Region: "saint-ann"},
			{Name: "port-antonio-1", Region: "portland"},
		},
		Teams:  teams(),
		Keys:   keys(),
		Queues: queues(),
	}
}

// teams gives hotels and kitchens the same total share, so that the peak load of
// either doesn't displace the work of the other.
func teams() []operator.Team {
	return []operator.Team{
		{Name: palmHotel, Share: 4, UpperLimit: 200},
		{Name: reefHotel, Share: 4, UpperLimit: 200},
		{Name: guesthouse, Share: 1, UpperLimit: 50},
		{Name: cookshops, Share: 5, UpperLimit: 200},
		{Name: jerkStands, Share: 4, UpperLimit: 150},
		{Name: office, Share: 2, UpperLimit: 80},
	}
}

// keys lists the active keys. The secrets of this example are public because
// the source contains them; a real program lists the hashes that
// "bluebellstile key new" prints.
func keys() []operator.Key {
	out := []operator.Key{
		{ID: "operations", SHA256: operator.HashSecret("example-bluemahoe-operations"), Operator: true},
	}
	for _, t := range teams() {
		out = append(out, operator.Key{
			ID:     t.Name + "-1",
			Team:   t.Name,
			SHA256: operator.HashSecret("example-bluemahoe-" + t.Name),
		})
	}
	return out
}

// queues marks work as idempotent only if running it twice doesn't affect a
// customer. Other work is never retried.
func queues() []operator.Queue {
	return []operator.Queue{
		{
			// Not idempotent: a duplicate pickup sends two vans to one gate.
			Name:           "pickup-call",
			Class:          operator.ClassUrgent,
			Priority:       20,
			Deadline:       15 * time.Second,
			MaxWaiting:     1000,
			Spill:          operator.SpillAny,
			Runner:         true,
			StartObjective: 2 * time.Second,
			StartTarget:    0.995,
		},
		{
			Name:           "route-plan",
			Class:          operator.ClassUrgent,
			Priority:       10,
			Idempotent:     true,
			Deadline:       2 * time.Minute,
			RetryBudget:    2,
			MaxWaiting:     500,
			Spill:          operator.SpillAny,
			StartObjective: 3 * time.Second,
			StartTarget:    0.99,
		},
		{
			// The lots of one load are sorted all at once. Vans bring them to
			// one plant, so the work stays in its zone.
			Name:           "lot-sorting",
			Class:          operator.ClassBatch,
			Priority:       10,
			Preemptible:    true,
			Deadline:       time.Hour,
			MaxWaiting:     2000,
			Spill:          operator.SpillStay,
			StartObjective: 2 * time.Minute,
			StartTarget:    0.99,
		},
		{
			// Not idempotent: a duplicate invoice once cost the company a
			// customer.
			Name:           "invoice",
			Class:          operator.ClassBatch,
			Teams:          []string{office},
			Deadline:       8 * time.Hour,
			MaxWaiting:     5000,
			Spill:          operator.SpillRegion,
			StartObjective: 30 * time.Minute,
			StartTarget:    0.95,
		},
		{
			// Anybody may ask when the van comes.
			Name:           "van-times",
			Class:          operator.ClassService,
			Open:           true,
			OpenTeam:       office,
			Idempotent:     true,
			Deadline:       5 * time.Second,
			RetryBudget:    1,
			MaxWaiting:     200,
			Spill:          operator.SpillRegion,
			Runner:         true,
			StartObjective: time.Second,
			StartTarget:    0.95,
		},
	}
}
