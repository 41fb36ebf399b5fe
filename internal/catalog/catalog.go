// Package catalog holds the configuration that operators publish on the
// platform: queues, pools, customers and limits. A Catalog is not modified after
// Index has returned.
package catalog

import (
	"maps"
	"slices"
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

	byName        map[string]*Queue
	byHost        map[string][]*Queue
	customerByKey map[string]string
}

// Queue is a scheduling policy and the host and path prefix under which its
// jobs are submitted.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest matching prefix wins.
	Host   string
	Prefix string
	// Pool names the endpoints that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the highest, and its tasks may preempt
	// those of other queues.
	Priority int
	// Attempts is the maximum number of failed runs of a task.
	Attempts int
	// Stretch and Objective define the latency objective of a job: Stretch
	// times the duration of its longest chain of tasks, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the answer to a request; 0 means no bound.
	Timeout time.Duration
	// Open queues accept work without a key.
	Open bool
	// Eligibility is nil if every endpoint of the pool may run the queue's
	// steps.
	Eligibility *Eligibility
}

// Eligibility describes the service that knows which endpoints may run a
// queue's steps.
type Eligibility struct {
	// A call takes Base plus PerEndpoint for each endpoint that it names.
	Base        time.Duration
	PerEndpoint time.Duration
	// Valid is how long a permit stays valid: the token with which the service
	// allows an endpoint to run a step.
	Valid time.Duration
}

// Cost returns the duration of a call that names n endpoints.
func (e *Eligibility) Cost(n int) time.Duration {
	return e.Base + time.Duration(n)*e.PerEndpoint
}

// Pool is a group of endpoints.
type Pool struct {
	Name string
	// Guarded says that the endpoints refuse tasks that exceed their capacity.
	Guarded bool
	// Spare says that the instances stay off until they are moved to another
	// pool.
	Spare bool
}

// Customer owns keys and has a share and an upper limit; it is a team of the
// cell.
type Customer struct {
	Name string
	// Keys are the secrets that the customer's calls carry.
	Keys []string
	// Weight is the customer's share at full load, in jobs per second.
	Weight float64
	// Cap bounds the resources of the customer's running tasks over all
	// endpoints; a dimension of 0 has no bound.
	Cap resource.Vector
}

// Limits bounds requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Index builds the lookup tables. It returns an error if a queue name is not
// unique or a queue refers to an unknown pool. It must be called before any
// other method.
func (c *Catalog) Index() error {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byHost = make(map[string][]*Queue)
	c.customerByKey = make(map[string]string)
	for i := range c.Queues {
		q := &c.Queues[i]
		if _, duplicate := c.byName[q.Name]; duplicate {
			return errors.Errorf("queue %q is defined more than once; publish a configuration with unique names", q.Name)
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
	for _, name := range slices.Sorted(maps.Keys(c.Customers)) {
		for _, key := range c.Customers[name].Keys {
			if _, taken := c.customerByKey[key]; !taken {
				c.customerByKey[key] = name
			}
		}
	}
	return nil
}

// Queue returns the queue with the given name, or nil.
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

// CustomerOfKey returns the customer that a key belongs to. Of several it is the first by
// name, so that all daemons agree.
func (c *Catalog) CustomerOfKey(key string) (customer string, ok bool) {
	customer, ok = c.customerByKey[key]
	return customer, ok
}

// WithinQuota reports whether a customer that uses used stays within its cap if it
// takes size more. It returns false for an unknown customer.
func (c *Catalog) WithinQuota(customer string, used, size resource.Vector) bool {
	limit, ok := c.Customers[customer]
	if !ok {
		return false
	}
	return withinDimension(used.MilliCores, size.MilliCores, limit.Cap.MilliCores) &&
		withinDimension(used.MemoryMB, size.MemoryMB, limit.Cap.MemoryMB) &&
		withinDimension(used.Accelerators, size.Accelerators, limit.Cap.Accelerators)
}

// withinDimension applies the cap of one dimension; a limit of 0 means no
// bound, and a size of 0 always fits.
func withinDimension(used, size, limit int64) bool {
	return limit == 0 || size == 0 || used+size <= limit
}
