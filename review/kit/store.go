package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the example settings of DEPLOY.md.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
)

// Store is a stand-in of the platform's metadata store: a log with keyed topics
// of one partition.
type Store struct {
	record *Record

	mu     sync.Mutex
	topics map[string]*topic
	// Oversize counts the appends that were refused because of their size.
	Oversize int
}

type topic struct {
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
	changed   chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int
}

type producer struct {
	epoch, next int64
	results     map[int64]position
}

type position struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store { return &Store{record: r, topics: make(map[string]*topic)} }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newestRecord), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put writes a record as the platform itself does; a nil value drops the key.
func (s *Store) Put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	raw := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([][]byte{append(raw, data...)})
}

func (t *topic) add(records [][]byte) position {
	p := position{Offset: len(t.records)}
	for _, raw := range records {
		key := string(raw[1 : 1+int(raw[0])])
		value := raw[1+len(key):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestRecord{value: value, offset: len(t.records)}
		}
		t.records = append(t.records, raw)
	}
	p.End = len(t.records)
	if len(records) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return p
}

// ServeHTTP serves the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.handleAppend(w, r, name)
	case "GET /-/log-read":
		s.handleRead(w, r, name)
	case "GET /-/log-newest":
		s.handleNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	largest := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n < 1 || n > len(rest)-4 || 1+int(rest[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, rest[4:4+n])
		largest = max(largest, n)
		rest = rest[4+n:]
	}
	if largest > recordBytes || len(body) > callBytes {
		s.mu.Lock()
		s.Oversize++
		s.mu.Unlock()
		s.record.Line("store", "append to %s refused with 413: %d bytes in the call, the largest record has %d", name, len(body), largest)
		answer(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "size"})
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	// An answer takes 4 ms.
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	status, result := s.topic(name).conditional(r, records)
	s.mu.Unlock()
	answer(w, status, result)
}

// conditional appends records if the conditions in the query hold.
func (t *topic) conditional(r *http.Request, records [][]byte) (int, any) {
	q := r.URL.Query()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]int{"end": len(t.records)}
	}
	if q.Get("producer") == "" {
		return http.StatusOK, t.add(records)
	}
	epoch, err := strconv.ParseInt(q.Get("epoch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"reason": "epoch"}
	}
	p := t.producers[q.Get("producer")]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, results: make(map[int64]position)}
		t.producers[q.Get("producer")] = p
	}
	if epoch < p.epoch {
		return http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch}
	}
	if len(records) == 0 {
		return http.StatusOK, position{Offset: len(t.records), End: len(t.records)}
	}
	seq, err := strconv.ParseInt(q.Get("seq"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"reason": "seq"}
	}
	if first, repeated := p.results[seq]; repeated {
		return http.StatusOK, first
	}
	if p.next != 0 && seq != p.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next}
	}
	result := t.add(records)
	p.next, p.results[seq] = seq+1, result
	delete(p.results, seq-5)
	return http.StatusOK, result
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < len(t.records) && len(body) < 1<<20; i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
			body = append(body, t.records[i]...)
		}
		changed := t.changed
		s.mu.Unlock()
		if len(body) > 16 || wait == 0 {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		n := t.newest[key]
		if len(items) >= pageItems || size+len(n.value) > 1<<20 {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(n.value), Offset: n.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// answer responds with a JSON body.
func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
