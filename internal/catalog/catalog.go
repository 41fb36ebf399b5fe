// Package catalog holds the configuration that operators publish on the
// platform: queues, pools, customers and limits. A catalog never changes once
// it has been made.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/pkg/errors"
)

// Catalog is one version of the configuration.
type Catalog struct {
	// Version orders configurations; it grows in uneven steps.
	Version   int64
	Queues    []Queue
	Pools     map[string]Pool
	Customers map[string]Customer
	Limits    Limits

	byName map[string]*Queue
	byHost map[string][]*Queue
	byKey  map[string]string
}

// Queue is a policy and the place where its jobs are submitted.
type Queue struct {
	Name string
	// Host and Prefix select the queue; of several prefixes the longest wins.
	Host   string
	Prefix string
	// Pool names the endpoints that run the queue's tasks.
	Pool string
	// Priority orders queues, 0 first; it may preempt others.
	Priority int
	// Attempts is how many failed runs a task may have.
	Attempts int
	// Stretch and Objective give the objective of a job: Stretch times its
	// longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the answer to a request; 0 means no bound.
	Timeout time.Duration
	// Open queues take work without a key.
	Open bool
	// Eligibility is nil if every endpoint of the pool may run the queue's
	// steps.
	Eligibility *Eligibility
}

// Eligibility describes the service that knows which endpoints may run a
// queue's steps.
type Eligibility struct {
	// Base is how long a call takes, PerEndpoint how much longer for each
	// endpoint that it names.
	Base        time.Duration
	PerEndpoint time.Duration
	// Valid is how long a permit is good for.
	Valid time.Duration
}

// Cost is how long a call that names n endpoints takes.
func (e *Eligibility) Cost(n int) time.Duration {
	return e.Base + time.Duration(n)*e.PerEndpoint
}

// Pool is a group of endpoints.
type Pool struct {
	Name string
	// Guarded endpoints refuse tasks that exceed their capacity.
	Guarded bool
	// Spare instances are off until they are moved to another pool.
	Spare bool
}

// Customer is a unit of keys, share and upper limit: a team of the cell.
type Customer struct {
	Name string
	// Keys are the secrets that the customer's calls carry.
	Keys []string
	// Weight is the customer's share when all is full, in jobs a second.
	Weight float64
	// Cap bounds what the customer may have running over all endpoints; a
	// dimension of 0 has no bound.
	Cap resource.Vector
}

// Limits bounds requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Index builds the lookups and checks that names are unique and references
// exist. A catalog must be indexed before it is used.
func (c *Catalog) Index() error {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byHost = make(map[string][]*Queue)
	c.byKey = make(map[string]string)
	for i := range c.Queues {
		q := &c.Queues[i]
		if _, twice := c.byName[q.Name]; twice {
			return errors.Errorf("queue %q stands twice; publish a configuration with unique names", q.Name)
		}
		if _, ok := c.Pools[q.Pool]; !ok {
			return errors.Errorf("queue %q names pool %q, which is not configured; add the pool", q.Name, q.Pool)
		}
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, queues := range c.byHost {
		sort.SliceStable(queues, func(i, k int) bool { return len(queues[i].Prefix) > len(queues[k].Prefix) })
	}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.byKey[key] = customer.Name
		}
	}
	return nil
}

// Queue returns a queue by name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.byName[name] }

// Route returns the queue that host and path select and the rest of the path
// behind the queue's prefix, or nil.
func (c *Catalog) Route(host, path string) (*Queue, string) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest
		}
	}
	return nil, ""
}

// CustomerOfKey returns the customer that a key belongs to.
func (c *Catalog) CustomerOfKey(key string) (customer string, ok bool) {
	customer, ok = c.byKey[key]
	return customer, ok
}

// WithinQuota reports whether a customer that occupies used may take size more.
// Without a customer of that name nothing may be taken.
func (c *Catalog) WithinQuota(customer string, used, size resource.Vector) bool {
	limit, ok := c.Customers[customer]
	if !ok {
		return false
	}
	return withinDimension(used.MilliCores, size.MilliCores, limit.Cap.MilliCores) &&
		withinDimension(used.MemoryMB, size.MemoryMB, limit.Cap.MemoryMB) &&
		withinDimension(used.Accelerators, size.Accelerators, limit.Cap.Accelerators)
}

func withinDimension(used, size, limit int64) bool {
	return limit == 0 || size == 0 || used+size <= limit
}
