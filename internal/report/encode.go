package report

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// bytesPerSecond bounds the summaries of one zone, averaged over a
	// period. Every daemon reads those of all zones: 19 zones make 1.3 KB/s.
	bytesPerSecond = 68
	// minBudget and maxBudget bound one encoded summary, bytes.
	minBudget = 2 << 10
	maxBudget = 64 << 10
	// maxRows bounds the rows that are taken from one record.
	maxRows = 8192
)

// SummaryBudget returns the bound on the encoded summary of a period, in bytes.
func SummaryBudget(period time.Duration) int {
	return min(max(int(period.Seconds()*bytesPerSecond), minBudget), maxBudget)
}

// wireSummary is the recorded form of the series of a summary. Rows name teams
// and queues by their index.
type wireSummary struct {
	Teams  []string  `cbor:"1,keyasint,omitempty"`
	Queues []string  `cbor:"2,keyasint,omitempty"`
	Rows   []wireRow `cbor:"3,keyasint,omitempty"`
}

// wireRow is one series.
type wireRow struct {
	_     struct{} `cbor:",toarray"`
	Team  int
	Queue int
	// Counts are the fields of Counts without zeros at the end.
	Counts []uint32
	// Waits alternates the difference of a waiting time to the one before,
	// milliseconds, with its count.
	Waits []int64
}

// Encode returns the recorded form of the series in at most budget bytes. The
// largest series, those with bad events first, are kept as they are. The rest
// are merged into one series per queue, so that a queue's counts are exact at
// any size. Where that is still too large, waiting times are left out, then
// queues are merged as well.
func Encode(series map[Key]*Series, budget int) ([]byte, error) {
	ranked := rank(series)
	kept, best, err := largestPrefix(series, ranked, budget)
	if err != nil || kept {
		return best, err
	}
	withoutWaits := make(map[Key]*Series)
	for k, s := range collapse(series, ranked, 0) {
		withoutWaits[k] = &Series{Counts: s.Counts}
	}
	data, err := marshal(withoutWaits)
	if err != nil || len(data) <= budget {
		return data, err
	}
	whole := &Series{}
	for _, s := range withoutWaits {
		whole.merge(s)
	}
	return marshal(map[Key]*Series{{Other, Other}: whole})
}

// rank orders keys by bad events, then by all events, the most first.
func rank(series map[Key]*Series) []Key {
	keys := make([]Key, 0, len(series))
	for k := range series {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := &series[a].Counts, &series[b].Counts
		return cmp.Or(cmp.Compare(y.bad(), x.bad()), cmp.Compare(y.total(), x.total()), compareKeys(a, b))
	})
	return keys
}

// compareKeys orders keys by team and queue.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue))
}

// largestPrefix searches for how many of the ranked series can be kept as they
// are and returns the encoding; fits is false if all have to be merged further.
func largestPrefix(series map[Key]*Series, ranked []Key, budget int) (fits bool, best []byte, err error) {
	sort.Search(len(ranked)+1, func(dropped int) bool {
		data, encodeErr := marshal(collapse(series, ranked, len(ranked)-dropped))
		if encodeErr != nil {
			err = encodeErr
			return true
		}
		if len(data) > budget {
			return false
		}
		best = data
		return true
	})
	return best != nil, best, err
}

// collapse keeps the first n ranked series and merges the rest per queue.
func collapse(series map[Key]*Series, ranked []Key, n int) map[Key]*Series {
	out := make(map[Key]*Series, n)
	for _, k := range ranked[:n] {
		out[k] = series[k]
	}
	merged := make(map[Key]*Series)
	for _, k := range ranked[n:] {
		rest := Key{Other, k.Queue}
		if merged[rest] == nil {
			merged[rest] = &Series{}
		}
		merged[rest].merge(series[k])
	}
	for k, s := range merged {
		if present := out[k]; present != nil {
			s.merge(present)
		}
		out[k] = s
	}
	return out
}

// marshal encodes series in the order of their keys.
func marshal(series map[Key]*Series) ([]byte, error) {
	keys := make([]Key, 0, len(series))
	for k := range series {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	var w wireSummary
	teams, queues := make(map[string]int), make(map[string]int)
	for _, k := range keys {
		w.Rows = append(w.Rows, wireRow{
			Team:   index(&w.Teams, teams, k.Team),
			Queue:  index(&w.Queues, queues, k.Queue),
			Counts: trimmed(&series[k].Counts),
			Waits:  pairs(series[k]),
		})
	}
	data, err := cbor.Marshal(&w)
	return data, errors.Wrap(err, "encode the summary of the report")
}

// index returns the index of name in names and adds it if it's new.
func index(names *[]string, known map[string]int, name string) int {
	i, ok := known[name]
	if !ok {
		i = len(*names)
		*names = append(*names, name)
		known[name] = i
	}
	return i
}

// trimmed lists the counts without zeros at the end.
func trimmed(c *Counts) []uint32 {
	var out []uint32
	for i, field := range c.list() {
		if *field == 0 {
			continue
		}
		for len(out) < i {
			out = append(out, 0)
		}
		out = append(out, *field)
	}
	return out
}

// pairs lists the waiting times and their counts.
func pairs(s *Series) []int64 {
	if s.Waits == nil {
		return nil
	}
	var out []int64
	last := int64(0)
	for value, count := range s.Waits.ForEachBucket {
		out = append(out, value-last, count)
		last = value
	}
	return out
}

// Decode returns the summary in a record.
func Decode(r *record.Report) (*Summary, error) {
	var w wireSummary
	if err := cbor.Unmarshal(r.Series, &w); err != nil {
		return nil, errors.Wrap(err, "decode the summary of the report")
	}
	if len(w.Rows) > maxRows || r.StartMS >= r.EndMS || r.StartMS < 0 {
		return nil, errors.Errorf("summary of %d rows over %d ms to %d ms is out of bounds", len(w.Rows), r.StartMS, r.EndMS)
	}
	out := &Summary{Zone: r.Zone, StartMS: r.StartMS, EndMS: r.EndMS, FrontDoor: r.FrontDoor, Series: make(map[Key]*Series, len(w.Rows))}
	for _, row := range w.Rows {
		if row.Team < 0 || row.Team >= len(w.Teams) || row.Queue < 0 || row.Queue >= len(w.Queues) {
			return nil, errors.Errorf("summary row names team %d of %d and queue %d of %d", row.Team, len(w.Teams), row.Queue, len(w.Queues))
		}
		row.addTo(out.at(Key{w.Teams[row.Team], w.Queues[row.Queue]}))
	}
	return out, nil
}

// addTo adds the events of the row to s. Counts that a newer version may have
// added are skipped.
func (row *wireRow) addTo(s *Series) {
	var counts Counts
	for i, field := range counts.list() {
		if i < len(row.Counts) {
			*field = row.Counts[i]
		}
	}
	s.Counts.Add(&counts)
	value := int64(0)
	for i := 0; i+1 < len(row.Waits); i += 2 {
		value += row.Waits[i]
		s.wait(value, row.Waits[i+1])
	}
}
