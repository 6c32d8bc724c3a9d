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
	// Limits of the store, as the pages and the site files name them.
	maxRecordBytes = 262_144
	maxCallBytes   = 2_097_152
	maxStoredBytes = 400 << 20
	pageRecords    = 500
	pageBytes      = 1 << 20
	keepHistory    = 20 * time.Second
	// keptResponses is how many of a producer's appends may be repeated.
	keptResponses = 5
	// storeLatency is how long the store takes for a call.
	storeLatency = 4 * time.Millisecond
)

// store is the platform's store: logs, fenced producers and the newest record of each key.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	stored  int
}

type storedRecord struct {
	raw, value []byte
	key        string
	offset     int64
	at         time.Time
}

type topic struct {
	first     int64
	records   []storedRecord
	newest    map[string]storedRecord
	producers map[string]*producer
}

type producer struct {
	epoch, sequence int64
	started         bool
	responses       map[int64]appendReply
}

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// put writes a record as the operator or a worker does; nil drops the key.
func (s *store) put(topicName, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		content = append(content, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topicName), [][]byte{content})
}

func (s *store) topic(name string) *topic {
	t, known := s.topics[name]
	if !known {
		t = &topic{newest: map[string]storedRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// add appends the records, expires old ones and wakes readers. The lock is held.
func (s *store) add(t *topic, contents [][]byte) appendReply {
	reply, now := appendReply{Offset: t.end()}, time.Now()
	for _, content := range contents {
		r := storedRecord{raw: content, offset: t.end(), at: now}
		if len(content) > 0 && int(content[0]) < len(content) {
			keyEnd := 1 + int(content[0])
			r.key, r.value = string(content[1:keyEnd]), content[keyEnd:]
		}
		t.records = append(t.records, r)
		s.stored += len(content) - len(t.newest[r.key].raw)
		if len(r.value) == 0 {
			s.stored -= len(content)
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	expired := 0
	for expired < len(t.records) && now.Sub(t.records[expired].at) > keepHistory {
		expired++
	}
	t.first += int64(expired)
	t.records = append([]storedRecord(nil), t.records[expired:]...)
	reply.End = t.end()
	close(s.changed)
	s.changed = make(chan struct{})
	return reply
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	contents, ok := splitRecords(body)
	if !ok || len(body) > maxCallBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if asOf, given := number(r, "as-of"); given && asOf != t.end() {
		reply(w, http.StatusPreconditionFailed, appendReply{End: t.end()})
		return
	}
	if s.stored+len(body) > maxStoredBytes {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	id := r.URL.Query().Get("producer")
	if id == "" {
		reply(w, http.StatusOK, s.add(t, contents))
		return
	}
	epoch, _ := number(r, "epoch")
	sequence, _ := number(r, "sequence")
	p, known := t.producers[id]
	if !known {
		p = &producer{responses: map[int64]appendReply{}}
		t.producers[id] = p
	}
	if epoch < p.epoch {
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, responses: map[int64]appendReply{}}
	}
	if first, repeated := p.responses[sequence]; repeated {
		reply(w, http.StatusOK, first)
		return
	}
	if p.started && sequence != p.sequence+1 {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	}
	p.started, p.sequence = true, sequence
	answer := s.add(t, contents)
	p.responses[sequence] = answer
	delete(p.responses, sequence-keptResponses)
	reply(w, http.StatusOK, answer)
}

func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size || size > maxRecordBytes {
			return nil, false
		}
		out = append(out, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	return out, true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := number(r, "from")
	most, given := number(r, "max-size")
	if !given {
		most = 1024
	}
	wait, _ := number(r, "wait-ms")
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		changed := s.changed
		if from < t.end() || !waiting {
			out := t.read(from, int(most)<<10)
			s.mu.Unlock()
			// A client that has left needs no response.
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the end, the first offset and the records from the offset on, as many as fit.
func (t *topic) read(from int64, most int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i := from - t.first; i >= 0 && i < int64(len(t.records)); i++ {
		raw := t.records[i].raw
		if len(out) > 16 && len(out)+4+len(raw) > most {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	return out
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if after == "" || key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, more := []map[string]any{}, 0, false
	for _, key := range keys {
		record := t.newest[key]
		if len(items) == pageRecords || len(items) > 0 && bytes+len(record.raw) > pageBytes {
			more = true
			break
		}
		bytes += len(record.raw)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	end := t.end()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "end": end})
}

// number returns an integer of the query.
func number(r *http.Request, name string) (n int64, given bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no response.
	_ = json.NewEncoder(w).Encode(body)
}
