package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// StoreFault is a fault that the store applies to a call.
type StoreFault int

// Faults of the store.
const (
	// StoreOK serves the call.
	StoreOK StoreFault = iota
	// StoreUnavailable rejects the call without effect.
	StoreUnavailable
	// StoreDropsReply executes the call and does not respond.
	StoreDropsReply
	// StoreHangs neither executes the call nor responds.
	StoreHangs
)

// Store is the metadata store: logs with conditional appends, fenced producers
// and the newest record of each key.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed and replaced at each append.
	changed chan struct{}
	// fault selects the fault of each call; nil serves all.
	fault func(r *http.Request) StoreFault
	// delay is added to each response.
	delay time.Duration
	// stalledUntil is until when long polls receive no records.
	stalledUntil time.Time
	calls        map[string]int
}

type record struct {
	raw    []byte
	key    string
	value  []byte
	offset int64
}

type topic struct {
	// first is the offset of the oldest retained record.
	first   int64
	records []record
	newest  map[string]record
	// producers holds the epoch, last sequence and responses of each producer.
	producers map[string]*producer
}

type producer struct {
	epoch     int64
	sequence  int64
	started   bool
	responses map[int64]appendResponse
}

type appendResponse struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFault sets the fault of each call; nil serves all.
func (s *Store) SetFault(fault func(r *http.Request) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDelay adds the delay to each response.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// StallWatches makes long polls return no records for the duration. Reads that do
// not wait return everything.
func (s *Store) StallWatches(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledUntil = time.Now().Add(duration)
}

// Calls returns the number of calls received for the path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record as the operator or a worker would.
func (s *Store) Put(topicName, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(topicName, key, raw)
}

// PutRaw appends a record with any value; an empty value deletes the key.
func (s *Store) PutRaw(topicName, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topicName), [][]byte{content})
}

// TrimHistory drops the history of all topics and keeps the newest records.
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

// Keys returns the keys of a topic that are not deleted, sorted.
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

// add appends the records and wakes waiting readers.
func (s *Store) add(t *topic, contents [][]byte) appendResponse {
	response := appendResponse{Offset: t.end()}
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
	response.End = t.end()
	close(s.changed)
	s.changed = make(chan struct{})
	return response
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
	var out http.ResponseWriter = w
	if fault == StoreDropsReply {
		out = discardResponse{header: http.Header{}}
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(out, r)
	case "/log-read":
		s.serveRead(out, r)
	case "/log-newest":
		s.serveNewest(out, r)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
	if fault == StoreDropsReply {
		<-r.Context().Done()
	}
}

// discardResponse discards the response of a call with a dropped reply.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A disconnected client needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

func queryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}
