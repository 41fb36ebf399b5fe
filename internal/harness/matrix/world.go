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

// Names in the configuration of every cell of the matrix.
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

	// limitInk and limitLinen are the upper limits at the start.
	limitInk   = 6
	limitLinen = 8
	// loweredLinen is the limit that the step publishing sets.
	loweredLinen = 4
)

// secret returns the secret of a key. Secrets of tests are no secrets.
func secret(key string) string { return "bbst_test_" + key }

func cellConfig(c *operator.Config) {
	*c = operator.Config{
		Zones: []operator.Zone{{Name: zoneA, Region: "region-" + zoneA}, {Name: zoneB, Region: "region-" + zoneB}},
		Teams: []operator.Team{
			{Name: teamInk, Share: 2, UpperLimit: limitInk},
			{Name: teamLinen, Share: 1, UpperLimit: limitLinen},
			{Name: "ops", Share: 1, UpperLimit: 1},
		},
		Keys: []operator.Key{
			{ID: keyInk, Team: teamInk, SHA256: operator.HashSecret(secret(keyInk))},
			{ID: keyLinen, Team: teamLinen, SHA256: operator.HashSecret(secret(keyLinen))},
			{ID: keyOld, Team: teamInk, SHA256: operator.HashSecret(secret(keyOld))},
			{ID: keyOps, Team: "ops", SHA256: operator.HashSecret(secret(keyOps)), Operator: true},
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

// requestDeadline bounds the wait for the answer to a request.
const requestDeadline = 8 * time.Second

// checkOptions are what the checkers need to know of the cells' configuration.
func checkOptions(healed bool) history.Options {
	return history.Options{
		OpenQueues: map[string]bool{queueOpen: true},
		StopCodes:  map[string]bool{"shutting_down": true, "moved": true, "no_holder": true},
		Healed:     healed,
	}
}

// world is one cell under load.
type world struct {
	*harness.Cell
	ctx  context.Context
	rng  *rand.Rand
	ink  *harness.Caller
	old  *harness.Caller
	lin  *harness.Caller
	open *harness.Caller
	// forger has a key that was never granted.
	forger *harness.Caller

	stopLoad context.CancelFunc
	load     sync.WaitGroup
	// probes are the requests and jobs that a step started.
	probes sync.WaitGroup

	mu   sync.Mutex
	jobs []acceptedJob
}

// acceptedJob is a job whose outcome is awaited at the end.
type acceptedJob struct {
	caller *harness.Caller
	id     string
	inputs [][]byte
	sleeps bool
}

// newWorld starts a cell, publishes its configuration and waits until every
// daemon serves.
func newWorld(ctx context.Context, t testing.TB, seed int64, opts harness.Options) (*world, error) {
	c := harness.Start(t, opts)
	w := &world{Cell: c, ctx: ctx, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
	w.ink = harness.NewCaller("ink", keyInk, secret(keyInk), c.Rec)
	w.old = harness.NewCaller("old", keyOld, secret(keyOld), c.Rec)
	w.lin = harness.NewCaller("linen", keyLinen, secret(keyLinen), c.Rec)
	w.forger = harness.NewCaller("forger", "key-forged", secret("key-forged"), c.Rec)
	w.open = harness.NewCaller("open", "", "", c.Rec)
	if _, err := c.Publish(ctx, "bootstrap", cellConfig); err != nil {
		return nil, errors.Wrap(err, "publish the first configuration")
	}
	if err := w.awaitServing(startTimeout); err != nil {
		return nil, err
	}
	return w, nil
}

// startTimeout bounds the time until a new cell serves.
const startTimeout = 20 * time.Second

// awaitServing waits until a request through every daemon is done, in every
// zone.
func (w *world) awaitServing(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	for _, at := range w.Entries("") {
		var last harness.Answer
		served := harness.Eventually(ctx, func() bool {
			last = w.probe(ctx, at)
			return last.Verdict == history.VerdictDone
		})
		if !served {
			return errors.Errorf("%s doesn't serve: %s %s %s", at.Daemon, last.Verdict, last.Code, last.Detail)
		}
	}
	return nil
}

// probe sends one small idempotent request through one daemon only.
func (w *world) probe(ctx context.Context, at harness.Entry) harness.Answer {
	input := []byte("probe through " + at.Daemon)
	return w.ink.Run(ctx, []harness.Entry{at}, harness.Request{
		Queue: queueMatch, Command: "echo", Input: input, Want: input, Idempotent: true, Deadline: probeDeadline,
	}, 1)
}

// probeDeadline bounds the wait for the answer to a probe.
const probeDeadline = 3 * time.Second

// entriesFrom returns all entries in an order that begins at a random one.
func (w *world) entriesFrom() []harness.Entry {
	all := w.Entries("")
	w.mu.Lock()
	i := w.rng.IntN(len(all))
	w.mu.Unlock()
	return append(all[i:len(all):len(all)], all[:i]...)
}

// holder returns the holder of a zone by the log.
func (w *world) holder(zone string) (string, error) {
	h, err := w.Holder(w.ctx, zone)
	if err == nil && w.Daemons[h] == nil {
		err = errors.Errorf("zone %s has no holder among the daemons: %q", zone, h)
	}
	return h, err
}

// other returns a daemon of a zone other than id.
func (w *world) other(zone, id string) string {
	for _, e := range w.Entries(zone) {
		if e.Daemon != id {
			return e.Daemon
		}
	}
	return id
}

func sleepInput(d time.Duration) []byte { return []byte(d.String()) }

func sleepOutput(input []byte) []byte { return fmt.Appendf(nil, "slept %s", input) }
