package report

import (
	"cmp"
	"slices"
)

// maxTallies bounds the series of one bucket of a ring. The smallest series are
// merged per queue if there are more.
const maxTallies = 256

// tally holds the counts of one series in a bucket.
type tally struct {
	id     seriesID
	counts Counts
}

// bucket holds the events of one time interval, sorted by series.
type bucket struct {
	startMS int64
	// longestMS is the length of the longest period of a summary in it.
	longestMS int64
	tallies   []tally
}

// ring is a ring buffer of the newest buckets, which have equal width.
type ring struct {
	widthMS int64
	buckets []bucket
}

// newRing returns a ring of n buckets.
func newRing(widthMS int64, n int) *ring {
	return &ring{widthMS: widthMS, buckets: make([]bucket, n)}
}

// bucketAt returns the bucket for a time. It resets the bucket if it holds an
// older interval, and returns nil if the time is too old for the ring.
func (r *ring) bucketAt(ms int64) *bucket {
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

// bucketsIn returns the buckets of the window that ends with the bucket of nowMS:
// the newest windowMS/widthMS buckets, the oldest first.
func (r *ring) bucketsIn(nowMS, windowMS int64) []*bucket {
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

// mergeExcess merges tallies so that at most maxTallies are left. It keeps the
// largest maxTallies/2, merges the following ones per queue while there is room,
// and merges the rest into one.
func (b *bucket) mergeExcess(table *keyTable) {
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
			id = table.mergedID(id)
		default:
			id = table.id(Key{Other, Other})
		}
		b.add(id, &ranked[i].counts)
	}
}

// seriesID is a compact identifier of a Key.
type seriesID uint32

// maxKeys bounds the keys that get a seriesID; further keys share that of the
// merged series.
const maxKeys = 1 << 16

// keyTable assigns seriesIDs to keys.
type keyTable struct {
	keys []Key
	ids  map[Key]seriesID
}

// newKeyTable returns a table with only the key of the merged series, which has
// the id 0.
func newKeyTable() *keyTable {
	return &keyTable{keys: []Key{{Other, Other}}, ids: map[Key]seriesID{{Other, Other}: 0}}
}

// id returns the id of a key, assigning one if it is new. It returns 0 if the
// table is full.
func (t *keyTable) id(k Key) seriesID {
	if id, ok := t.ids[k]; ok {
		return id
	}
	if len(t.keys) >= maxKeys {
		return 0
	}
	id := seriesID(len(t.keys))
	t.keys = append(t.keys, k)
	t.ids[k] = id
	return id
}

// mergedID returns the id of the merged teams of the queue of id.
func (t *keyTable) mergedID(id seriesID) seriesID {
	return t.id(Key{Other, t.keys[id].Queue})
}
