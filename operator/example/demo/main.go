// Command demo prints the configuration that "make demo" publishes to the cell
// of "bluebellstile dev". Its secrets are public; never use them elsewhere.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bluebellstile/bluebellstile/operator"
)

// Secrets of the demonstration.
const (
	operatorSecret = "demo-operator-secret"
	labSecret      = "demo-lab-secret"
	laundrySecret  = "demo-laundry-secret"
)

func main() {
	text, err := operator.Print(configuration())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(text)
}

// configuration returns a cell of two zones, two teams and three queues.
func configuration() *operator.Config {
	return &operator.Config{
		Zones: []operator.Zone{
			{Name: "quimper-1", Region: "quimper-1"},
			{Name: "brest-1", Region: "brest-1"},
		},
		Teams: []operator.Team{
			{Name: "lab", Share: 2, UpperLimit: 32},
			{Name: "laundry", Share: 1, UpperLimit: 16},
		},
		Keys: []operator.Key{
			{ID: "operations", Operator: true, SHA256: operator.HashSecret(operatorSecret)},
			{ID: "lab-1", Team: "lab", SHA256: operator.HashSecret(labSecret)},
			{ID: "laundry-1", Team: "laundry", SHA256: operator.HashSecret(laundrySecret)},
		},
		Queues: []operator.Queue{
			{Name: "colour-match", Class: operator.ClassUrgent, Teams: []string{"lab"}, Runner: true, Idempotent: true, Deadline: 5 * time.Second, Spill: operator.SpillAny},
			{Name: "costing", Class: operator.ClassBatch, Teams: []string{"lab"}, Idempotent: true, RetryBudget: 1},
			{Name: "lot-sorting", Class: operator.ClassBatch, Teams: []string{"laundry"}, Idempotent: true},
		},
	}
}
