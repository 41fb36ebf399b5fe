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

// Keyed topics that the site's platform writes itself.
const (
	SiteTopicOperator  = "keyed.op"
	SiteTopicEndpoints = "keyed.servers"
)

const (
	// maxSiteCallBytes bounds the records of one append.
	maxSiteCallBytes = 2 << 20
	// maxSitePage bounds the items of one page of newest records.
	maxSitePage = 500
	// siteRepeats is how many of a producer's last appends are answered again.
	siteRepeats = 5
	// siteLateFirst is after what time a late append is done.
	siteLateFirst = time.Second
)

// SiteStore is the metadata store of the users' platform: topics of
// partitions, of which the newest record of each key is kept. It is reached
// through doors.
type SiteStore struct {
	mu         sync.Mutex
	partitions map[sitePartitionKey]*sitePartition
}

type sitePartitionKey struct {
	topic string
	part  int
}

type sitePartition struct {
	first   int64
	records []siteRecord
	newest  map[string]siteRecord
	writers map[string]*siteWriter
	// changed is closed at the next append.
	changed chan struct{}
}

type siteRecord struct {
	offset int64
	key    string
	value  []byte
	raw    []byte
}

// siteWriter is what is known of a producer.
type siteWriter struct {
	epoch   int64
	next    int64
	answers map[int64]siteAppended
}

type siteAppended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewSiteStore returns an empty store.
func NewSiteStore() *SiteStore {
	return &SiteStore{partitions: make(map[sitePartitionKey]*sitePartition)}
}

// SiteDoor is a way to a store with fault switches of its own, such as that of
// one instance.
type SiteDoor struct {
	store  *SiteStore
	faults *Faults
	link   *linkFaults
	refuse *atomic.Bool
	late   *atomic.Int64
}

// NewDoor returns another way to the store.
func (s *SiteStore) NewDoor() *SiteDoor {
	d := &SiteDoor{store: s, faults: newFaults()}
	d.link = newLinkFaults(d.faults)
	d.refuse = d.faults.boolean("refuse", "refuse every call with 503 without acting on it")
	d.late = d.faults.integer("late", "give this many appends no answer and do them a second later", 0)
	d.faults.action("forget", "drop the records of the operator and the endpoints, but not the newest of each key", func(json.RawMessage) error {
		s.forget()
		return nil
	})
	return d
}

// Faults implements Service.
func (d *SiteDoor) Faults() *Faults { return d.faults }

// Handler implements Service.
func (d *SiteDoor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", d.handleAppend)
	mux.HandleFunc("GET /-/log-read", d.store.handleRead)
	mux.HandleFunc("GET /-/log-newest", d.store.handleNewest)
	return d.link.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// partition returns a partition, which is made at its first use.
func (s *SiteStore) partition(topic string, part int) *sitePartition {
	key := sitePartitionKey{topic, part}
	p := s.partitions[key]
	if p == nil {
		p = &sitePartition{newest: make(map[string]siteRecord), writers: make(map[string]*siteWriter), changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

func (p *sitePartition) end() int64 { return p.first + int64(len(p.records)) }

// Put writes a record as the platform's own writers do; an empty value drops
// the key.
func (s *SiteStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, 0).add([]siteRecord{keyedRecord(key, value)})
}

// Newest returns the newest value of a key, nil if there is none.
func (s *SiteStore) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(topic, 0).newest[key].value
}

// forget drops the history of the platform's own topics.
func (s *SiteStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range []string{SiteTopicOperator, SiteTopicEndpoints} {
		p := s.partition(topic, 0)
		p.first, p.records = p.end(), nil
	}
}

func keyedRecord(key string, value []byte) siteRecord {
	raw := append([]byte{byte(len(key))}, key...)
	return siteRecord{key: key, value: value, raw: append(raw, value...)}
}

// add appends records and tells those who wait.
func (p *sitePartition) add(records []siteRecord) siteAppended {
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
	return siteAppended{Offset: first, End: p.end()}
}

// query holds the parameters of a call.
type siteQuery struct {
	topic string
	part  int
	r     *http.Request
}

func newSiteQuery(r *http.Request) (siteQuery, error) {
	part, err := queryInt(r, "part")
	q := siteQuery{topic: r.URL.Query().Get("topic"), part: int(part), r: r}
	if err == nil && q.topic == "" {
		err = errors.New("topic is missing")
	}
	return q, err
}

func (d *SiteDoor) handleAppend(w http.ResponseWriter, r *http.Request) {
	q, err := newSiteQuery(r)
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSiteCallBytes))
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
	if d.late.Load() > 0 {
		d.late.Add(-1)
		time.AfterFunc(siteLateFirst, func() { d.store.append(q, records) })
		panic(http.ErrAbortHandler)
	}
	status, answer := d.store.append(q, records)
	writeJSON(w, status, answer)
}

// append checks the conditions of an append and makes it.
func (s *SiteStore) append(q siteQuery, records []siteRecord) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.topic, q.part)
	values := q.r.URL.Query()
	if name := values.Get("producer"); name != "" {
		return p.appendProduced(name, values.Get("epoch"), values.Get("seq"), values.Get("at"), records)
	}
	return p.appendAt(values.Get("at"), records)
}

func (p *sitePartition) appendAt(at string, records []siteRecord) (int, any) {
	if at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	return http.StatusOK, p.add(records)
}

func (p *sitePartition) appendProduced(name, epochText, seqText, at string, records []siteRecord) (int, any) {
	epoch, err := strconv.ParseInt(epochText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": "epoch is missing"}
	}
	writer := p.writers[name]
	if writer == nil {
		writer = &siteWriter{epoch: epoch, answers: make(map[int64]siteAppended)}
		p.writers[name] = writer
	}
	if epoch < writer.epoch {
		return http.StatusConflict, map[string]any{"reason": "fenced", "epoch": writer.epoch}
	}
	if epoch > writer.epoch {
		*writer = siteWriter{epoch: epoch, answers: make(map[int64]siteAppended)}
	}
	if len(records) == 0 {
		return http.StatusOK, siteAppended{Offset: p.end(), End: p.end()}
	}
	seq, err := strconv.ParseInt(seqText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": "seq is missing"}
	}
	if answer, repeated := writer.answers[seq]; repeated {
		return http.StatusOK, answer
	}
	if writer.next != 0 && seq != writer.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": writer.next}
	}
	status, answer := p.appendAt(at, records)
	if status == http.StatusOK {
		writer.next = seq + 1
		writer.answers[seq] = answer.(siteAppended)
		delete(writer.answers, seq-siteRepeats)
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
		body, gone, changed := s.read(q, from)
		switch {
		case gone >= 0:
			writeJSON(w, http.StatusGone, map[string]int64{"first": gone})
			return
		case len(body) > siteReadHead || waitMS == 0:
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

// siteReadHead is the length of what comes before the records of a read.
const siteReadHead = 16

// read returns the records from an offset on as they are sent. gone is the
// first kept offset if the one asked for is not kept, else -1.
func (s *SiteStore) read(q siteQuery, from int64) (body []byte, gone int64, changed chan struct{}) {
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
	more := len(keys) > maxSitePage
	items := []siteItem{}
	for _, key := range keys[:min(len(keys), maxSitePage)] {
		record := p.newest[key]
		items = append(items, siteItem{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
	}
	end := p.end()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// decodeSiteRecords reads the body of an append to a keyed topic.
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
