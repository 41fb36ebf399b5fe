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
	// summaryBytesPerSecond bounds the size of the summaries of one zone,
	// averaged over a period. Every daemon reads those of all zones: 1.3 KB/s
	// for 19 zones.
	summaryBytesPerSecond = 68
	// minSummaryBytes and maxSummaryBytes bound SummaryLimit.
	minSummaryBytes = 2 << 10
	maxSummaryBytes = 64 << 10
	// maxRows bounds the rows accepted from one record.
	maxRows = 8192
)

// SummaryLimit returns the maximum size of the encoded summary of a period, in
// bytes.
func SummaryLimit(period time.Duration) int {
	return min(max(int(period.Seconds()*summaryBytesPerSecond), minSummaryBytes), maxSummaryBytes)
}

// wireSummary is the encoded form of the series of a summary. Rows refer to teams
// and queues by index.
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
	// Counts holds the fields of Counts without trailing zeros.
	Counts []uint32
	// Waits holds pairs: the difference of a waiting time to the previous one
	// in milliseconds, and its count.
	Waits []int64
}

// Encode encodes series in at most maxBytes bytes. The largest series, those with
// bad events first, are kept unchanged. The rest are merged into one series per
// queue, so that the counts of a queue remain exact. If the result is still too
// large, waiting times are omitted, and then all queues are merged.
func Encode(series map[Key]*Series, maxBytes int) ([]byte, error) {
	ranked := rankKeys(series)
	fits, best, err := largestPrefix(series, ranked, maxBytes)
	if err != nil || fits {
		return best, err
	}
	withoutWaits := make(map[Key]*Series)
	for k, s := range mergeTail(series, ranked, 0) {
		withoutWaits[k] = &Series{Counts: s.Counts}
	}
	data, err := marshal(withoutWaits)
	if err != nil || len(data) <= maxBytes {
		return data, err
	}
	total := &Series{}
	for _, s := range withoutWaits {
		total.merge(s)
	}
	return marshal(map[Key]*Series{{Other, Other}: total})
}

// rankKeys returns the keys sorted by bad events, then by all events, the largest
// first.
func rankKeys(series map[Key]*Series) []Key {
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

// largestPrefix finds the largest number of ranked series that can be kept
// unchanged within maxBytes and returns the encoding. fits is false if the
// encoding is too large even with none kept.
func largestPrefix(series map[Key]*Series, ranked []Key, maxBytes int) (fits bool, best []byte, err error) {
	sort.Search(len(ranked)+1, func(dropped int) bool {
		data, encodeErr := marshal(mergeTail(series, ranked, len(ranked)-dropped))
		if encodeErr != nil {
			err = encodeErr
			return true
		}
		if len(data) > maxBytes {
			return false
		}
		best = data
		return true
	})
	return best != nil, best, err
}

// mergeTail keeps the first n ranked series and merges the rest per queue.
func mergeTail(series map[Key]*Series, ranked []Key, n int) map[Key]*Series {
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
			Team:   indexOf(&w.Teams, teams, k.Team),
			Queue:  indexOf(&w.Queues, queues, k.Queue),
			Counts: trimZeros(&series[k].Counts),
			Waits:  waitPairs(series[k]),
		})
	}
	data, err := cbor.Marshal(&w)
	return data, errors.Wrap(err, "encode the summary of the report")
}

// indexOf returns the index of name in names, appending it if it is new.
func indexOf(names *[]string, known map[string]int, name string) int {
	i, ok := known[name]
	if !ok {
		i = len(*names)
		*names = append(*names, name)
		known[name] = i
	}
	return i
}

// trimZeros returns the counts without trailing zeros.
func trimZeros(c *Counts) []uint32 {
	var out []uint32
	for i, field := range c.fields() {
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

// waitPairs returns the waiting times as in wireRow.Waits.
func waitPairs(s *Series) []int64 {
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

// Decode decodes and validates the summary in a record.
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
			return nil, errors.Errorf("summary row refers to team %d of %d and queue %d of %d", row.Team, len(w.Teams), row.Queue, len(w.Queues))
		}
		row.addTo(out.seriesFor(Key{w.Teams[row.Team], w.Queues[row.Queue]}))
	}
	return out, nil
}

// addTo adds the events of the row to s. Additional counts of a newer version are
// ignored.
func (row *wireRow) addTo(s *Series) {
	var counts Counts
	for i, field := range counts.fields() {
		if i < len(row.Counts) {
			*field = row.Counts[i]
		}
	}
	s.Counts.Add(&counts)
	value := int64(0)
	for i := 0; i+1 < len(row.Waits); i += 2 {
		value += row.Waits[i]
		s.recordWait(value, row.Waits[i+1])
	}
}
