// Package precedence decides when work that starts task by task waits for work of a better
// priority whose tasks need room all at once. It answers gangs that compete with single
// tasks on full endpoints: single tasks know earlier where they may run and take each gap
// as it appears, so that gangs which come first in the order never start. It performs no
// I/O and reads no clock.
package precedence

import "github.com/bluebellstile/bluebellstile/internal/resource"

// Owed is what work without room needs, by pool and priority.
type Owed map[key]resource.Vector

type key struct {
	pool     string
	priority int
}

// Add adds what work of a priority needs in a pool.
func (o Owed) Add(pool string, priority int, size resource.Vector) {
	k := key{pool: pool, priority: priority}
	o[k] = o[k].Add(size)
}

// Before returns what work of better priorities than the given one needs in a pool.
func (o Owed) Before(pool string, priority int) resource.Vector {
	sum := resource.Vector{}
	for k, size := range o {
		if k.pool == pool && k.priority < priority {
			sum = sum.Add(size)
		}
	}
	return sum
}

// Yields reports whether a task of a size waits: whether it finds no room beyond headroom
// and what is owed to work of better priorities.
func (o Owed) Yields(pool string, priority int, size, free, headroom resource.Vector) bool {
	before := o.Before(pool, priority)
	if before == (resource.Vector{}) {
		return false
	}
	return size.Copies(free.Sub(headroom).Sub(before), 1) == 0
}
