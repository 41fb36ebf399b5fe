package report

import (
	"cmp"
	"slices"
)

// maxTallies bounds the series of one bucket of a ring. The smallest of those
// beyond it are merged per queue.
const maxTallies = 256

// tally is one series in a bucket.
type tally struct {
	id     seriesID
	counts Counts
}

// bucket holds the events of one stretch of time, sorted by series.
type bucket struct {
	startMS int64
	// longestMS is the length of the longest period in it.
	longestMS int64
	tallies   []tally
}

// ring holds the newest buckets of equal width.
type ring struct {
	widthMS int64
	buckets []bucket
}

// newRing returns a ring of n buckets.
func newRing(widthMS int64, n int) *ring {
	return &ring{widthMS: widthMS, buckets: make([]bucket, n)}
}

// at returns the bucket of a time and empties it if it held an older stretch;
// nil if the time is older than the ring reaches.
func (r *ring) at(ms int64) *bucket {
	start := ms - ms%r.widthMS
	b := &r.buckets[(ms/r.widthMS)%int64(len(r.buckets))]
	if b.startMS > start {
		return nil
	}
	if b.startMS < start {
		*b = bucket{startMS: start}
	}
	return b
}

// within returns the buckets of the window that ends with the bucket of now:
// the newest window/width of them.
func (r *ring) within(nowMS, windowMS int64) []*bucket {
	last := nowMS - nowMS%r.widthMS
	var out []*bucket
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.startMS <= last && b.startMS > last-windowMS && b.startMS > 0 {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *bucket) int { return cmp.Compare(a.startMS, b.startMS) })
	return out
}

// add adds the events of a series.
func (b *bucket) add(id seriesID, counts *Counts) {
	i, found := slices.BinarySearchFunc(b.tallies, id, func(c tally, id seriesID) int { return cmp.Compare(c.id, id) })
	if !found {
		b.tallies = slices.Insert(b.tallies, i, tally{id: id})
	}
	b.tallies[i].counts.Add(counts)
}

// bound merges the smallest tallies per queue until at most maxTallies are left.
func (b *bucket) bound(names *nameTable) {
	if len(b.tallies) <= maxTallies {
		return
	}
	ranked := b.tallies
	slices.SortStableFunc(ranked, func(x, y tally) int {
		return cmp.Or(cmp.Compare(y.counts.bad(), x.counts.bad()), cmp.Compare(y.counts.total(), x.counts.total()))
	})
	b.tallies = make([]tally, 0, maxTallies)
	for i := range ranked {
		id := ranked[i].id
		switch {
		case i < maxTallies/2:
		case len(b.tallies) < maxTallies-1:
			id = names.other(id)
		default:
			id = names.id(Key{Other, Other})
		}
		b.add(id, &ranked[i].counts)
	}
}

// seriesID is a short name of a key.
type seriesID uint32

// maxNames bounds the keys that are told apart.
const maxNames = 1 << 16

// nameTable gives keys short names.
type nameTable struct {
	keys []Key
	ids  map[Key]seriesID
}

// newNameTable returns a table that knows only the key of what was merged.
func newNameTable() *nameTable {
	return &nameTable{keys: []Key{{Other, Other}}, ids: map[Key]seriesID{{Other, Other}: 0}}
}

// id returns the short name of a key.
func (n *nameTable) id(k Key) seriesID {
	if id, ok := n.ids[k]; ok {
		return id
	}
	if len(n.keys) >= maxNames {
		return 0
	}
	id := seriesID(len(n.keys))
	n.keys = append(n.keys, k)
	n.ids[k] = id
	return id
}

// other returns the name of the merged teams on the same queue.
func (n *nameTable) other(id seriesID) seriesID {
	return n.id(Key{Other, n.keys[id].Queue})
}
