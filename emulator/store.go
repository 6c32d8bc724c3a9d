package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is what the store does to a call.
type StoreFault int

// Faults of the store.
const (
	// StoreWell serves the call.
	StoreWell StoreFault = iota
	// StoreBusy refuses the call with nothing done.
	StoreBusy
	// StoreLosesReply carries the call out and does not answer.
	StoreLosesReply
	// StoreSilent does nothing and does not answer.
	StoreSilent
)

// Store is the metadata store: logs with conditions, fenced producers, and the
// newest record of each key.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed and replaced at each append.
	changed chan struct{}
	// Fault decides what happens to a call; nil serves all.
	fault func(r *http.Request) StoreFault
	// delay is added to each answer.
	delay time.Duration
	calls map[string]int
}

type record struct {
	raw    []byte
	key    string
	value  []byte
	offset int64
}

type topic struct {
	// first is the offset of the oldest kept record.
	first   int64
	records []record
	newest  map[string]record
	// epochs and the last sequence and answer of each producer.
	producers map[string]*producer
}

type producer struct {
	epoch    int64
	sequence int64
	started  bool
	answers  map[int64]appendAnswer
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFault sets what happens to each call; nil serves all.
func (s *Store) SetFault(fault func(r *http.Request) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDelay adds the span to each answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Put writes a record as the operator or a worker does.
func (s *Store) Put(topicName, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(topicName, key, raw)
}

// PutRaw writes a record of any bytes; an empty value drops the key.
func (s *Store) PutRaw(topicName, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topicName), [][]byte{content})
}

// Forget drops the history of all topics; the newest records stay.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first += int64(len(t.records))
		t.records = nil
	}
}

// Newest returns the newest value of a key.
func (s *Store) Newest(topicName, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.topic(topicName).newest[key]
	return r.value, known
}

// Keys returns the keys of a topic that are not dropped, in order.
func (s *Store) Keys(topicName string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.topic(topicName).newest)
}

func sortedKeys(m map[string]record) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (s *Store) topic(name string) *topic {
	t, known := s.topics[name]
	if !known {
		t = &topic{newest: map[string]record{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// add appends the contents and wakes the readers.
func (s *Store) add(t *topic, contents [][]byte) appendAnswer {
	answer := appendAnswer{Offset: t.end()}
	for _, content := range contents {
		r := record{raw: content, offset: t.end()}
		if len(content) > 0 && int(content[0]) < len(content) {
			keyEnd := 1 + int(content[0])
			r.key, r.value = string(content[1:keyEnd]), content[keyEnd:]
		}
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	answer.End = t.end()
	close(s.changed)
	s.changed = make(chan struct{})
	return answer
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault, delay := StoreWell, s.delay
	if s.fault != nil {
		fault = s.fault(r)
	}
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreSilent:
		<-r.Context().Done()
		return
	}
	var into http.ResponseWriter = w
	if fault == StoreLosesReply {
		into = discard{header: http.Header{}}
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(into, r)
	case "/log-read":
		s.serveRead(into, r)
	case "/log-newest":
		s.serveNewest(into, r)
	default:
		into.WriteHeader(http.StatusNotFound)
	}
	if fault == StoreLosesReply {
		<-r.Context().Done()
	}
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
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
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if asOf := number(r, "as-of", -1); asOf >= 0 && asOf != t.end() {
		writeJSON(w, http.StatusPreconditionFailed, appendAnswer{End: t.end()})
		return
	}
	id := r.URL.Query().Get("producer")
	if id == "" {
		writeJSON(w, http.StatusOK, s.add(t, contents))
		return
	}
	s.appendFenced(w, t, id, number(r, "epoch", 0), number(r, "sequence", 0), contents)
}

// keptAnswers is how many of a producer's last answers are repeated.
const keptAnswers = 5

func (s *Store) appendFenced(w http.ResponseWriter, t *topic, id string, epoch, sequence int64, contents [][]byte) {
	p, known := t.producers[id]
	if !known {
		p = &producer{answers: map[int64]appendAnswer{}}
		t.producers[id] = p
	}
	switch {
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch})
		return
	case epoch > p.epoch:
		*p = producer{epoch: epoch, answers: map[int64]appendAnswer{}}
	}
	if answer, again := p.answers[sequence]; again {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	if p.started && sequence != p.sequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	}
	p.started, p.sequence = true, sequence
	answer := s.add(t, contents)
	p.answers[sequence] = answer
	delete(p.answers, sequence-keptAnswers)
	writeJSON(w, http.StatusOK, answer)
}

func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			return nil, false
		}
		out = append(out, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	return out, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from", 0)
	deadline := time.After(time.Duration(number(r, "wait-ms", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		if from < t.first {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": t.first})
			return
		}
		changed := s.changed
		if from < t.end() || number(r, "wait-ms", 0) == 0 {
			out := t.read(from)
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			out := t.read(from)
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
	}
}

func (t *topic) read(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i := from - t.first; i >= 0 && i < int64(len(t.records)); i++ {
		raw := t.records[i].raw
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	return out
}

// newestPage is how many records one answer holds.
const newestPage = 500

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	more := false
	for _, key := range sortedKeys(t.newest) {
		if after != "" && strings.Compare(key, after) <= 0 {
			continue
		}
		if len(items) == newestPage {
			more = true
			break
		}
		rec := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	end := t.end()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "end": end})
}
