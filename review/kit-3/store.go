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

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	// storeLatency is the time of an answer, as in the sheet of the site.
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
)

// store is a stand-in of the platform's store: keyed topics of one partition,
// conditional appends and appends of producers.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type record struct {
	key   string
	value []byte
	raw   []byte
}

type topic struct {
	records []record
	newest  map[string]int
	epochs  map[string]*producer
	changed chan struct{}
}

type producer struct {
	epoch, next int64
	answers     map[int64][]byte
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic, which is created on first use; the caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), epochs: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records []record) {
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func newRecord(key string, value []byte) record {
	return record{key: key, value: value, raw: append(append([]byte{byte(len(key))}, key...), value...)}
}

// put writes a record of the operator or of a runner; without a value the key is dropped.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]record{newRecord(key, value)})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r, body)
	case "GET /-/log-read":
		s.read(w, r)
	case "GET /-/log-newest":
		s.readNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []record
	for len(body) > 0 {
		n := 0
		if len(body) >= 4 {
			n = int(binary.BigEndian.Uint32(body))
		}
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		raw := body[4 : 4+n]
		end := 1 + int(raw[0])
		records = append(records, record{key: string(raw[1:end]), value: raw[end:], raw: raw})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	var p *producer
	seq := int64(0)
	if q.Get("producer") != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		p = t.epochs[q.Get("producer")]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, answers: make(map[int64][]byte)}
			t.epochs[q.Get("producer")] = p
		}
		switch {
		case epoch < p.epoch:
			respond(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch})
			return
		case len(records) == 0:
			respond(w, http.StatusOK, map[string]any{"offset": end, "end": end})
			return
		case p.answers[seq] != nil:
			_, _ = w.Write(p.answers[seq])
			return
		case p.next != 0 && seq != p.next:
			respond(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		respond(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	t.add(records)
	answer, _ := json.Marshal(map[string]any{"offset": end, "end": end + int64(len(records))})
	if p != nil {
		p.next = seq + 1
		p.answers[seq] = answer
		delete(p.answers, seq-5)
	}
	_, _ = w.Write(answer)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for over := false; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < len(t.records) && len(body) < 1<<20; i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i].raw)))
			body = append(body, t.records[i].raw...)
		}
		changed := t.changed
		s.mu.Unlock()
		if len(body) > 16 || over || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for key, at := range t.newest {
		if key > q.Get("after") && len(t.records[at].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		at := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[at].value), "offset": at})
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "end": len(t.records)})
}
