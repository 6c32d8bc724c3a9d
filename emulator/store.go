package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// StoreFault is what the store does to a call.
type StoreFault int

// Faults of the store.
const (
	// StoreOK serves the call.
	StoreOK StoreFault = iota
	// StoreUnavailable refuses the call with nothing done.
	StoreUnavailable
	// StoreDropsReply carries the call out and does not answer.
	StoreDropsReply
	// StoreHangs does nothing and does not answer.
	StoreHangs
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
	// deafUntil is until when reads that wait hear of no record.
	deafUntil time.Time
	calls     map[string]int
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

// StallWatches lets reads that wait hear of no record for the span; those that do not
// wait are answered in full.
func (s *Store) StallWatches(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deafUntil = time.Now().Add(span)
}

// Calls returns how many calls of the path have been made.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
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

// TrimHistory drops the history of all topics; the newest records stay.
func (s *Store) TrimHistory() {
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
	fault, delay := StoreOK, s.delay
	if s.fault != nil {
		fault = s.fault(r)
	}
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case StoreUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreHangs:
		<-r.Context().Done()
		return
	}
	var into http.ResponseWriter = w
	if fault == StoreDropsReply {
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
	if fault == StoreDropsReply {
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
