package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Keyed topics that only the platform itself writes.
const (
	SiteTopicOperator  = "keyed.op"
	SiteTopicEndpoints = "keyed.servers"
)

const (
	// maxSiteBodyBytes limits the body of a request to a stand-in of a site.
	maxSiteBodyBytes = 2 << 20
	// maxSitePageItems limits the items of a page of newest records.
	maxSitePageItems = 500
	// siteKeptResults is the number of appends per producer whose results are
	// kept, so that a repeated append gets the first result.
	siteKeptResults = 5
	// siteLateAppendDelay is the delay of an append under the switch "late".
	siteLateAppendDelay = time.Second
)

// SiteStore is a stand-in for the metadata store of the users' platform. It has
// topics with partitions, and keeps the newest record of each key. It is served
// by SiteStoreServer values.
type SiteStore struct {
	mu         sync.Mutex
	partitions map[sitePartitionKey]*sitePartition
}

type sitePartitionKey struct {
	topic string
	part  int
}

type sitePartition struct {
	// first is the offset of records[0].
	first     int64
	records   []siteRecord
	newest    map[string]siteRecord
	producers map[string]*siteProducer
	// changed is closed and replaced by each append.
	changed chan struct{}
}

type siteRecord struct {
	offset int64
	key    string
	value  []byte
	raw    []byte
}

// siteProducer is the state of a producer of a partition.
type siteProducer struct {
	epoch   int64
	nextSeq int64
	results map[int64]siteAppendResult
}

type siteAppendResult struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewSiteStore returns an empty store.
func NewSiteStore() *SiteStore {
	return &SiteStore{partitions: make(map[sitePartitionKey]*sitePartition)}
}

// SiteStoreServer serves a SiteStore over HTTP. Several SiteStoreServers can
// serve the same store, each with its own fault switches, for example one for
// each instance.
type SiteStoreServer struct {
	store       *SiteStore
	faults      *Faults
	link        *linkFaults
	refuseCalls *atomic.Bool
	lateAppends *atomic.Int64
}

// NewServer returns a new SiteStoreServer of the store.
func (s *SiteStore) NewServer() *SiteStoreServer {
	d := &SiteStoreServer{store: s, faults: newFaults()}
	d.link = newLinkFaults(d.faults)
	d.refuseCalls = d.faults.addBool("refuse", "refuse every call with 503 without acting on it")
	d.lateAppends = d.faults.addInt("late", "abort this many appends and apply them a second later", 0)
	d.faults.addAction("forget", "drop the records of the operator and the endpoints, but not the newest of each key", func(json.RawMessage) error {
		s.compact()
		return nil
	})
	return d
}

// Faults implements Service.
func (d *SiteStoreServer) Faults() *Faults { return d.faults }

// Handler implements Service.
func (d *SiteStoreServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", d.handleAppend)
	mux.HandleFunc("GET /-/log-read", d.store.handleRead)
	mux.HandleFunc("GET /-/log-newest", d.store.handleNewest)
	return d.link.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.refuseCalls.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// partition returns a partition, which it creates at its first use.
func (s *SiteStore) partition(topic string, part int) *sitePartition {
	key := sitePartitionKey{topic, part}
	p := s.partitions[key]
	if p == nil {
		p = &sitePartition{newest: make(map[string]siteRecord), producers: make(map[string]*siteProducer), changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// end returns the offset that the next record gets.
func (p *sitePartition) end() int64 { return p.first + int64(len(p.records)) }

// Put writes a record as the platform itself does. An empty value removes the
// key.
func (s *SiteStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, 0).add([]siteRecord{keyedRecord(key, value)})
}

// Newest returns the newest value of a key, or nil if there is none.
func (s *SiteStore) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(topic, 0).newest[key].value
}

// compact drops the records of the topics that the platform itself writes. The
// newest record of each key can still be read with log-newest.
func (s *SiteStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range []string{SiteTopicOperator, SiteTopicEndpoints} {
		p := s.partition(topic, 0)
		p.first, p.records = p.end(), nil
	}
}

// keyedRecord returns a record encoded as the length of the key in one byte, the
// key and the value.
func keyedRecord(key string, value []byte) siteRecord {
	raw := append([]byte{byte(len(key))}, key...)
	return siteRecord{key: key, value: value, raw: append(raw, value...)}
}

// add appends records and wakes waiting reads.
func (p *sitePartition) add(records []siteRecord) siteAppendResult {
	first := p.end()
	for _, r := range records {
		r.offset = p.end()
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return siteAppendResult{Offset: first, End: p.end()}
}

// siteQuery holds the topic and the partition that a request names.
type siteQuery struct {
	topic   string
	part    int
	request *http.Request
}

func newSiteQuery(r *http.Request) (siteQuery, error) {
	part, err := queryInt(r, "part")
	q := siteQuery{topic: r.URL.Query().Get("topic"), part: int(part), request: r}
	if err == nil && q.topic == "" {
		err = errors.New("topic is missing")
	}
	return q, err
}

func (d *SiteStoreServer) handleAppend(w http.ResponseWriter, r *http.Request) {
	q, err := newSiteQuery(r)
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSiteBodyBytes))
	records, decodeErr := decodeSiteRecords(body)
	for _, e := range []error{err, readErr, decodeErr} {
		if e != nil {
			http.Error(w, e.Error(), http.StatusBadRequest)
			return
		}
	}
	if q.topic == SiteTopicOperator || q.topic == SiteTopicEndpoints {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if d.lateAppends.Load() > 0 {
		d.lateAppends.Add(-1)
		time.AfterFunc(siteLateAppendDelay, func() { d.store.append(q, records) })
		panic(http.ErrAbortHandler)
	}
	status, answer := d.store.append(q, records)
	writeJSON(w, status, answer)
}

// append appends records if the conditions of the request hold. It returns the
// HTTP status and the body of the response.
func (s *SiteStore) append(q siteQuery, records []siteRecord) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.topic, q.part)
	values := q.request.URL.Query()
	if name := values.Get("producer"); name != "" {
		return p.appendAsProducer(name, values.Get("epoch"), values.Get("seq"), values.Get("at"), records)
	}
	return p.appendAt(values.Get("at"), records)
}

// appendAt appends records if the partition ends at the offset at; an empty at
// is no condition.
func (p *sitePartition) appendAt(at string, records []siteRecord) (int, any) {
	if at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	return http.StatusOK, p.add(records)
}

// appendAsProducer appends records of a producer. An append of a lower epoch is
// refused as fenced, a repeated sequence number gets the first result again, and
// a sequence number other than the next is refused, except in the first append
// of an epoch. An append without records only checks and sets the epoch.
func (p *sitePartition) appendAsProducer(name, epochText, seqText, at string, records []siteRecord) (int, any) {
	epoch, err := strconv.ParseInt(epochText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": "epoch is missing"}
	}
	producer := p.producers[name]
	if producer == nil {
		producer = &siteProducer{epoch: epoch, results: make(map[int64]siteAppendResult)}
		p.producers[name] = producer
	}
	if epoch < producer.epoch {
		return http.StatusConflict, map[string]any{"reason": "fenced", "epoch": producer.epoch}
	}
	if epoch > producer.epoch {
		*producer = siteProducer{epoch: epoch, results: make(map[int64]siteAppendResult)}
	}
	if len(records) == 0 {
		return http.StatusOK, siteAppendResult{Offset: p.end(), End: p.end()}
	}
	seq, err := strconv.ParseInt(seqText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": "seq is missing"}
	}
	if answer, repeated := producer.results[seq]; repeated {
		return http.StatusOK, answer
	}
	if producer.nextSeq != 0 && seq != producer.nextSeq {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": producer.nextSeq}
	}
	status, answer := p.appendAt(at, records)
	if status == http.StatusOK {
		producer.nextSeq = seq + 1
		producer.results[seq] = answer.(siteAppendResult)
		delete(producer.results, seq-siteKeptResults)
	}
	return status, answer
}

func (s *SiteStore) handleRead(w http.ResponseWriter, r *http.Request) {
	q, err := newSiteQuery(r)
	from, fromErr := queryInt(r, "from")
	waitMS, waitErr := queryInt(r, "wait_ms")
	for _, e := range []error{err, fromErr, waitErr} {
		if e != nil {
			http.Error(w, e.Error(), http.StatusBadRequest)
			return
		}
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		body, firstKept, changed := s.read(q, from)
		switch {
		case firstKept >= 0:
			writeJSON(w, http.StatusGone, map[string]int64{"first": firstKept})
			return
		case len(body) > siteReadHeaderBytes || waitMS == 0:
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// siteReadHeaderBytes is the size of the two offsets, the end and the first,
// that precede the records in the response to a read.
const siteReadHeaderBytes = 16

// read returns the encoded response to a read from an offset on. If that offset
// is no longer kept, firstKept is the first offset that is; otherwise it is -1.
func (s *SiteStore) read(q siteQuery, from int64) (body []byte, firstKept int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.topic, q.part)
	if from < p.first {
		return nil, p.first, p.changed
	}
	body = binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(p.first))
	for i := from - p.first; i < int64(len(p.records)); i++ {
		raw := p.records[i].raw
		body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
		body = append(body, raw...)
	}
	return body, -1, p.changed
}

type siteItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *SiteStore) handleNewest(w http.ResponseWriter, r *http.Request) {
	q, err := newSiteQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.partition(q.topic, q.part)
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxSitePageItems
	items := []siteItem{}
	for _, key := range keys[:min(len(keys), maxSitePageItems)] {
		record := p.newest[key]
		items = append(items, siteItem{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
	}
	end := p.end()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// decodeSiteRecords decodes the body of an append to a keyed topic. Each record
// is preceded by its length in four bytes.
func decodeSiteRecords(body []byte) ([]siteRecord, error) {
	var records []siteRecord
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errors.New("a record's length is cut off")
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n < 1 || n < 1+int(body[0]) {
			return nil, errors.New("a record is cut off")
		}
		key := string(body[1 : 1+body[0]])
		records = append(records, keyedRecord(key, append([]byte(nil), body[1+len(key):n]...)))
		body = body[n:]
	}
	return records, nil
}
