package holder

import (
	"errors"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/history/linear"
)

// checkHistory checks a history for violations of the service's promises, as package history
// defines them. It uses the events of callers and endpoints only.
func checkHistory(events []history.Event) error {
	if found := violations(events); found != "" {
		return errors.New(found)
	}
	return nil
}

// violations returns the first violation of each promise, "" if there is none.
func violations(events []history.Event) string {
	options := history.Options{Healed: true, OpenQueues: map[string]bool{queueName: true}}
	var out []string
	for _, c := range history.Checkers() {
		if found := c.Check(events, options); len(found) > 0 {
			out = append(out, c.Promise+": "+found[0].Detail)
		}
	}
	const searchBound = 10 * time.Second
	if porcupine.CheckOperationsTimeout(linear.TicketModel(), linear.TicketOperations(events), searchBound) != porcupine.Ok {
		out = append(out, "ticket: the history of a ticket is not linearizable")
	}
	return strings.Join(out, "; ")
}
