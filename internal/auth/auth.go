// Package auth checks callers' keys against the configuration in force and
// refuses keyed work while the configuration may be stale.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/operator"
)

// Configuration supplies the configuration in force and its version.
type Configuration interface {
	Config() (*operator.Config, uint64)
}

// Staleness returns the time since the configuration was last proven current.
type Staleness func() time.Duration

// Grant is the result of admitting a caller to a queue. KeyID is empty for a
// caller without a key on an open queue.
type Grant struct {
	Team  string
	KeyID string
	Queue operator.Queue
}

// Guard authorizes callers against the configuration in force. It is safe for
// concurrent use.
type Guard struct {
	config    Configuration
	staleness Staleness
	// maxStaleness is the staleness beyond which keyed work is refused, unless the
	// queue has a longer KeyGrace.
	maxStaleness time.Duration

	mu   sync.Mutex
	keys keyIndex
}

// keyIndex indexes the keys of one configuration version.
type keyIndex struct {
	version uint64
	byHash  map[string]operator.Key
	byID    map[string]operator.Key
}

// NewGuard returns a Guard that refuses keyed work once the staleness exceeds
// maxStaleness.
func NewGuard(config Configuration, staleness Staleness, maxStaleness time.Duration) *Guard {
	return &Guard{config: config, staleness: staleness, maxStaleness: maxStaleness}
}

// currentKeys returns the configuration in force and its keys.
func (g *Guard) currentKeys() (*operator.Config, keyIndex) {
	cfg, version := g.config.Config()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys.version == version && g.keys.byHash != nil {
		return cfg, g.keys
	}
	g.keys = keyIndex{version: version, byHash: make(map[string]operator.Key), byID: make(map[string]operator.Key)}
	if cfg != nil {
		for _, k := range cfg.Keys {
			g.keys.byHash[k.SHA256] = k
			g.keys.byID[k.ID] = k
		}
	}
	return cfg, g.keys
}

// Admit authorizes a caller with the given secret for a queue. An empty secret
// is admitted to open queues only.
func (g *Guard) Admit(secret, queueName string) (Grant, *problem.Problem) {
	cfg, keys := g.currentKeys()
	if cfg == nil {
		return Grant{}, problem.Refuse(problem.ConfigNotFresh, "retry when the operators have published a configuration", "no configuration is in force here").WithRetryAfter(g.maxStaleness)
	}
	queue, ok := findQueue(cfg, queueName)
	if !ok {
		return Grant{}, problem.Refuse(problem.UnknownQueue, "use a queue of the published configuration", "there is no queue %q", queueName)
	}
	if secret == "" && queue.Open {
		return Grant{Team: queue.OpenTeam, Queue: queue}, nil
	}
	if secret == "" {
		return Grant{}, problem.Refuse(problem.KeyMissing, "send the team's key as a bearer token", "queue %q takes keyed work only", queueName)
	}
	key, ok := keys.find(secret)
	if !ok {
		return Grant{}, problem.Refuse(problem.KeyRefused, "ask the operators for a key", "the key is not known")
	}
	if p := g.authorize(key, queue); p != nil {
		return Grant{}, p
	}
	return Grant{Team: key.Team, KeyID: key.ID, Queue: queue}, nil
}

// Recheck authorizes waiting work again just before it starts, since its key
// or its queue may have changed.
func (g *Guard) Recheck(keyID, team, queueName string) *problem.Problem {
	cfg, keys := g.currentKeys()
	key, known := keys.byID[keyID]
	if cfg == nil || !known || key.Team != team {
		return problem.Refuse(problem.KeyRefused, "ask the operators for a key", "key %q is not known", keyID)
	}
	queue, ok := findQueue(cfg, queueName)
	if !ok {
		return problem.Refuse(problem.UnknownQueue, "use a queue of the published configuration", "there is no queue %q", queueName)
	}
	return g.authorize(key, queue)
}

// authorize applies the rules for a known key and queue.
func (g *Guard) authorize(key operator.Key, queue operator.Queue) *problem.Problem {
	if key.Withdrawn {
		return problem.Refuse(problem.KeyRefused, "ask the operators for a new key", "key %q was withdrawn", key.ID)
	}
	if len(queue.Teams) > 0 && !slices.Contains(queue.Teams, key.Team) {
		return problem.Refuse(problem.TeamNotAllowed, "use a queue that lists the team", "queue %q does not admit team %q", queue.Name, key.Team)
	}
	if staleness := g.staleness(); staleness > max(g.maxStaleness, queue.KeyGrace) {
		return problem.Refuse(problem.ConfigNotFresh, "retry later or use an open queue", "the configuration has not been proven current for %s", staleness.Round(time.Millisecond)).WithRetryAfter(g.maxStaleness)
	}
	return nil
}

// Operator authorizes an operator's secret and returns the key's id. It works
// with a stale configuration too: operators must be able to resolve staleness.
func (g *Guard) Operator(secret string) (string, *problem.Problem) {
	_, keys := g.currentKeys()
	key, ok := keys.find(secret)
	if !ok || key.Withdrawn || !key.Operator {
		return "", problem.Refuse(problem.KeyRefused, "use an operator's key", "the key is not valid for administration")
	}
	return key.ID, nil
}

// Stale reports whether the configuration has not been proven current within
// maxStaleness.
func (g *Guard) Stale() bool { return g.staleness() > g.maxStaleness }

// Unconfigured reports whether no configuration, and thus no operator key, is in
// force. The first configuration is published with the bootstrap key of the
// settings.
func (g *Guard) Unconfigured() bool {
	cfg, _ := g.config.Config()
	return cfg == nil
}

// Team returns the team and id of a key that is known and not withdrawn.
func (g *Guard) Team(secret string) (team, keyID string, p *problem.Problem) {
	_, keys := g.currentKeys()
	key, ok := keys.find(secret)
	if !ok || key.Withdrawn {
		return "", "", problem.Refuse(problem.KeyRefused, "ask the operators for a key", "the key is not known or was withdrawn")
	}
	return key.Team, key.ID, nil
}

// find looks up the key of a secret by its hash and compares in constant time.
func (k keyIndex) find(secret string) (operator.Key, bool) {
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	key, ok := k.byHash[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(key.SHA256), []byte(hash)) != 1 {
		return operator.Key{}, false
	}
	return key, true
}

// findQueue returns the configured queue with the given name.
func findQueue(cfg *operator.Config, name string) (operator.Queue, bool) {
	for _, q := range cfg.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return operator.Queue{}, false
}
