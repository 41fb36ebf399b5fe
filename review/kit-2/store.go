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

// store is a stand-in for the platform's metadata store: topics with records by
// key, appends under a condition or a producer's epoch, long reads, and the newest
// record of each key.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// delay is the time that each call takes.
	delay time.Duration
}

type partition struct {
	first     int64
	records   []entry
	newest    map[string]entry
	producers map[string]*producer
	changed   chan struct{}
}

type entry struct {
	offset int64
	key    string
	value  []byte
}

type producer struct {
	epoch, next int64
	// answers holds the answers to the last five appends, which are repeated.
	answers map[int64]appended
}

type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	keptAnswers   = 5
	pageItems     = 500
	maxCallBytes  = 2097152
)

func newStore() *store {
	return &store{parts: make(map[string]*partition), delay: 4 * time.Millisecond}
}

func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: make(map[string]entry), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) add(records []entry) appended {
	out := appended{Offset: p.end()}
	for _, r := range records {
		r.offset = p.end()
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	out.End = p.end()
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return out
}

// put writes a record as the operator or a runner does; an empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add([]entry{{key: key, value: value}})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil || len(body) > maxCallBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.delay)
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, body)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decodeRecords(body []byte) ([]entry, bool) {
	var out []entry
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || n < 1+int(body[0]) {
			return nil, false
		}
		key := string(body[1 : 1+int(body[0])])
		out = append(out, entry{key: key, value: append([]byte(nil), body[1+len(key):n]...)})
		body = body[n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	records, ok := decodeRecords(body)
	topic := q.Get("topic")
	switch {
	case !ok || topic == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case topic == topicOperator || topic == topicServers:
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": p.end()})
		return
	}
	name := q.Get("producer")
	if name == "" {
		reply(w, http.StatusOK, p.add(records))
		return
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	pr := p.producers[name]
	if pr == nil || epoch > pr.epoch {
		pr = &producer{epoch: epoch, answers: make(map[int64]appended)}
		p.producers[name] = pr
	}
	if epoch < pr.epoch {
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": pr.epoch})
		return
	}
	if len(body) == 0 {
		reply(w, http.StatusOK, appended{Offset: p.end(), End: p.end()})
		return
	}
	if a, repeated := pr.answers[seq]; repeated {
		reply(w, http.StatusOK, a)
		return
	}
	if pr.next != 0 && seq != pr.next {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": pr.next})
		return
	}
	a := p.add(records)
	pr.next, pr.answers[seq] = seq+1, a
	delete(pr.answers, seq-keptAnswers)
	reply(w, http.StatusOK, a)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		first, end, changed := p.first, p.end(), p.changed
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, uint64(first))
		for i := max(from-first, 0); i < int64(len(p.records)) && len(body) < 1<<20; i++ {
			e := p.records[i]
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
			body = append(body, byte(len(e.key)))
			body = append(append(body, e.key...), e.value...)
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(body) > 16 || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		e := p.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	end := p.end()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
