// Command kerhoas prints the configuration of Logiciels Kerhoas, which hosts
// colour matching, batch costing and label checks for printing-ink suppliers.
//
// Publish it with:
//
//	go run ./example/kerhoas > cell.ini
//	bluebellstile config diff in-force.ini cell.ini
//	bluebellstile config publish cell.ini
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bluebellstile/bluebellstile/operator"
)

// Names of the teams, one for each supplier. The first two are the large ones.
const (
	armor       = "encres-armor"
	leon        = "pigments-leon"
	tregor      = "couleurs-tregor"
	cornouaille = "presse-cornouaille"
	rhuys       = "vernis-rhuys"
	iroise      = "teintes-iroise"
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
			{Name: "quimper-1", Region: "cornouaille"},
			{Name: "brest-1", Region: "leon"},
			{Name: "rennes-1", Region: "haute-bretagne"},
		},
		Teams:  teams(),
		Keys:   keys(),
		Queues: queues(),
	}
}

// teams sets each share by what the supplier pays for. The upper limits add up
// to more than the capacity of the cell, so that teams can borrow idle capacity.
func teams() []operator.Team {
	return []operator.Team{
		{Name: armor, Share: 8, UpperLimit: 400},
		{Name: leon, Share: 6, UpperLimit: 300},
		{Name: tregor, Share: 2, UpperLimit: 120},
		{Name: cornouaille, Share: 2, UpperLimit: 120},
		{Name: rhuys, Share: 1, UpperLimit: 60},
		{Name: iroise, Share: 1, UpperLimit: 60},
	}
}

// keys lists the active keys. The secrets of this example are public because
// the source contains them; a real program lists the hashes that
// "bluebellstile key new" prints.
func keys() []operator.Key {
	out := []operator.Key{
		{ID: "operations", SHA256: operator.HashSecret("example-kerhoas-operations"), Operator: true},
	}
	for _, t := range teams() {
		out = append(out, operator.Key{
			ID:     t.Name + "-1",
			Team:   t.Name,
			SHA256: operator.HashSecret("example-kerhoas-" + t.Name),
		})
	}
	return out
}

// queues orders work by the cost of a delay: an idle press and a lorry that
// leaves without its drum cost more than a late price list.
func queues() []operator.Queue {
	return []operator.Queue{
		{
			Name:           "colour-match",
			Class:          operator.ClassUrgent,
			Priority:       20,
			Idempotent:     true,
			Deadline:       10 * time.Second,
			RetryBudget:    2,
			MaxWaiting:     2000,
			Spill:          operator.SpillAny,
			Runner:         true,
			StartObjective: time.Second,
			StartTarget:    0.999,
		},
		{
			// A duplicate label logs duplicate drums, so these requests are not
			// idempotent and never retried.
			Name:           "label-check",
			Class:          operator.ClassUrgent,
			Priority:       10,
			Deadline:       20 * time.Second,
			MaxWaiting:     2000,
			Spill:          operator.SpillRegion,
			Runner:         true,
			StartObjective: 2 * time.Second,
			StartTarget:    0.995,
		},
		{
			Name:           "batch-costing",
			Class:          operator.ClassBatch,
			Idempotent:     true,
			Preemptible:    true,
			Deadline:       2 * time.Hour,
			RetryBudget:    3,
			MaxWaiting:     10_000,
			Spill:          operator.SpillRegion,
			StartObjective: 5 * time.Minute,
			StartTarget:    0.99,
		},
		{
			// The two large suppliers calculate the costs of a whole pigment lot at
			// once.
			Name:           "lot-recosting",
			Class:          operator.ClassBatch,
			Priority:       -10,
			Teams:          []string{armor, leon},
			Idempotent:     true,
			Preemptible:    true,
			Deadline:       6 * time.Hour,
			RetryBudget:    1,
			MaxWaiting:     200,
			Spill:          operator.SpillStay,
			StartObjective: 30 * time.Minute,
			StartTarget:    0.95,
		},
		{
			// Anybody may preview a shade on the public page.
			Name:           "shade-preview",
			Class:          operator.ClassService,
			Priority:       -10,
			Open:           true,
			OpenTeam:       iroise,
			Idempotent:     true,
			Deadline:       5 * time.Second,
			MaxWaiting:     200,
			Spill:          operator.SpillStay,
			Runner:         true,
			StartObjective: time.Second,
			StartTarget:    0.9,
		},
	}
}
