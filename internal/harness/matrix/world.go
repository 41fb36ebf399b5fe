package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Names and limits in the configuration of every cell.
const (
	teamInk   = "ink"
	teamLinen = "linen"

	keyInk     = "key-ink"
	keyLinen   = "key-linen"
	keyOld     = "key-old"
	keyOps     = "key-ops"
	queueLabel = "labels"
	queueMatch = "match"
	queueCost  = "costing"
	queueLots  = "lots"
	queueOpen  = "open"

	zoneA = "za"
	zoneB = "zb"

	// limitInk and limitLinen are the initial upper limits of the teams.
	limitInk   = 6
	limitLinen = 8
	// loweredLimitLinen is the upper limit that the step Publishing sets.
	loweredLimitLinen = 4
)

// keySecret returns the secret of a key. It is predictable because only tests use
// the keys.
func keySecret(key string) string { return "bbst_test_" + key }

// initialConfig replaces c by the configuration with which every cell starts.
func initialConfig(c *operator.Config) {
	*c = operator.Config{
		Zones: []operator.Zone{{Name: zoneA, Region: "region-" + zoneA}, {Name: zoneB, Region: "region-" + zoneB}},
		Teams: []operator.Team{
			{Name: teamInk, Share: 2, UpperLimit: limitInk},
			{Name: teamLinen, Share: 1, UpperLimit: limitLinen},
			{Name: "ops", Share: 1, UpperLimit: 1},
		},
		Keys: []operator.Key{
			{ID: keyInk, Team: teamInk, SHA256: operator.HashSecret(keySecret(keyInk))},
			{ID: keyLinen, Team: teamLinen, SHA256: operator.HashSecret(keySecret(keyLinen))},
			{ID: keyOld, Team: teamInk, SHA256: operator.HashSecret(keySecret(keyOld))},
			{ID: keyOps, Team: "ops", SHA256: operator.HashSecret(keySecret(keyOps)), Operator: true},
		},
		Queues: []operator.Queue{
			{Name: queueLabel, Class: operator.ClassUrgent, Teams: []string{teamInk}, Runner: true, Deadline: requestDeadline},
			{Name: queueMatch, Class: operator.ClassService, Idempotent: true, RetryBudget: 3, Runner: true, Spill: operator.SpillAny, Deadline: requestDeadline},
			{Name: queueCost, Class: operator.ClassBatch, Idempotent: true, RetryBudget: 3, Deadline: time.Minute},
			{Name: queueLots, Class: operator.ClassBatch, Teams: []string{teamLinen}, Deadline: time.Minute},
			{Name: queueOpen, Class: operator.ClassService, Open: true, OpenTeam: teamLinen, Idempotent: true, RetryBudget: 1, Runner: true, Deadline: requestDeadline},
		},
	}
}

// requestDeadline is the deadline of requests and of the queues for them.
const requestDeadline = 8 * time.Second

// checkOptions returns the options for the checkers that match initialConfig.
// healed says that every fault has healed and the cell has recovered.
func checkOptions(healed bool) history.Options {
	return history.Options{
		OpenQueues: map[string]bool{queueOpen: true},
		StopCodes:  map[string]bool{"shutting_down": true, "moved": true, "no_holder": true},
		Healed:     healed,
	}
}

// testCell is a running cell with the callers that put load on it.
type testCell struct {
	*harness.Cell
	ctx context.Context
	rng *rand.Rand
	// ink and linen use the keys of the two teams, oldKey uses a key that is
	// withdrawn during the run, and open uses no key.
	ink    *harness.Caller
	oldKey *harness.Caller
	linen  *harness.Caller
	open   *harness.Caller
	// unknownKey uses a key that was never granted.
	unknownKey *harness.Caller

	// cancelLoad stops the callers that startLoad started; load tracks them.
	cancelLoad context.CancelFunc
	load       sync.WaitGroup
	// stepWork tracks the requests, jobs and publications started for a step.
	stepWork sync.WaitGroup

	// mu guards rng and jobs.
	mu   sync.Mutex
	jobs []acceptedJob
}

// acceptedJob is an accepted job whose outcome is checked at the end of the run.
type acceptedJob struct {
	caller *harness.Caller
	id     string
	inputs [][]byte
	// sleeps says that the tasks run "sleep" instead of "echo".
	sleeps bool
}

// newTestCell starts a cell, publishes its configuration and waits until every
// daemon serves requests. The seed is that of the random choice of entries.
func newTestCell(ctx context.Context, t testing.TB, seed int64, opts harness.Options) (*testCell, error) {
	c := harness.Start(t, opts)
	tc := &testCell{Cell: c, ctx: ctx, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
	tc.ink = harness.NewCaller("ink", keyInk, keySecret(keyInk), c.Rec)
	tc.oldKey = harness.NewCaller("old", keyOld, keySecret(keyOld), c.Rec)
	tc.linen = harness.NewCaller("linen", keyLinen, keySecret(keyLinen), c.Rec)
	tc.unknownKey = harness.NewCaller("forger", "key-forged", keySecret("key-forged"), c.Rec)
	tc.open = harness.NewCaller("open", "", "", c.Rec)
	if _, err := c.Publish(ctx, "bootstrap", initialConfig); err != nil {
		return nil, errors.Wrap(err, "publish the first configuration")
	}
	if err := tc.awaitServing(startTimeout); err != nil {
		return nil, err
	}
	return tc, nil
}

// startTimeout bounds the time until every daemon of a new cell serves requests.
const startTimeout = 20 * time.Second

// awaitServing waits until a request through every daemon of every zone has
// succeeded, and returns an error if this takes longer than limit.
func (tc *testCell) awaitServing(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(tc.ctx, limit)
	defer cancel()
	for _, entry := range tc.Entries("") {
		var last harness.Answer
		served := harness.Eventually(ctx, func() bool {
			last = tc.probe(ctx, entry)
			return last.Verdict == history.VerdictDone
		})
		if !served {
			return errors.Errorf("%s doesn't serve: %s %s %s", entry.Daemon, last.Verdict, last.Code, last.Detail)
		}
	}
	return nil
}

// probe sends one small idempotent request through one daemon, without retries.
func (tc *testCell) probe(ctx context.Context, entry harness.Entry) harness.Answer {
	input := []byte("probe through " + entry.Daemon)
	return tc.ink.Run(ctx, []harness.Entry{entry}, harness.Request{
		Queue: queueMatch, Command: "echo", Input: input, Want: input, Idempotent: true, Deadline: probeDeadline,
	}, 1)
}

// probeDeadline is the deadline of a probe.
const probeDeadline = 3 * time.Second

// rotatedEntries returns all entries, rotated to begin at a random one.
func (tc *testCell) rotatedEntries() []harness.Entry {
	all := tc.Entries("")
	tc.mu.Lock()
	i := tc.rng.IntN(len(all))
	tc.mu.Unlock()
	return append(all[i:len(all):len(all)], all[:i]...)
}

// currentHolder returns the holder of a zone according to the log, or an error if
// it is not a daemon of this cell.
func (tc *testCell) currentHolder(zone string) (string, error) {
	h, err := tc.Holder(tc.ctx, zone)
	if err == nil && tc.Daemons[h] == nil {
		err = errors.Errorf("zone %s has no holder among the daemons: %q", zone, h)
	}
	return h, err
}

// otherDaemon returns a daemon of a zone other than id, or id if there is none.
func (tc *testCell) otherDaemon(zone, id string) string {
	for _, e := range tc.Entries(zone) {
		if e.Daemon != id {
			return e.Daemon
		}
	}
	return id
}

func sleepInput(d time.Duration) []byte { return []byte(d.String()) }

// sleepOutput returns the output of the command "sleep" for an input.
func sleepOutput(input []byte) []byte { return fmt.Appendf(nil, "slept %s", input) }
