package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	defaultPageLimit = 512
	maxAppendBytes   = 8 << 20
)

// log is the append-only log service.
type log struct {
	limiter   *rate.Limiter
	retention time.Duration

	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*stream
	appends map[string]int
}

func newLog(appendsPerSecond int, retention time.Duration) *log {
	return &log{
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), max(1, appendsPerSecond/10)),
		retention: retention,
		streams:   make(map[string]*stream),
		appends:   make(map[string]int),
	}
}

func (l *log) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	mux.HandleFunc("POST /v1/streams/{stream}/trim", l.handleTrim)
	mux.HandleFunc("PUT /v1/faults/log", l.handleFaults)
}

func (l *log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

// enter applies the switches that concern every call. It reports whether the
// call may go on.
func (l *log) enter(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.DelayMS > 0 {
		sleep(r, time.Duration(faults.DelayMS)*time.Millisecond)
	}
	if faults.Unavailable || slices.Contains(faults.Disconnected, r.UserAgent()) {
		writeError(w, http.StatusServiceUnavailable, provider.CodeUnavailable, "the log is down")
		return false
	}
	return true
}

func (l *log) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !l.enter(w, r) {
		return
	}
	var body provider.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, err.Error())
		return
	}
	if l.takeFault(func(f *LogFaults) *int { return &f.DropAppends }) {
		panic(http.ErrAbortHandler)
	}
	if !l.limiter.Allow() || l.takeFault(func(f *LogFaults) *int { return &f.RateLimitAppends }) {
		writeError(w, http.StatusTooManyRequests, provider.CodeRateLimited, "the append rate limit is exceeded")
		return
	}
	offset := l.stream(r.PathValue("stream")).append(body.Payloads, time.Now())
	l.countAppend(r.UserAgent())
	if l.takeFault(func(f *LogFaults) *int { return &f.DropReplies }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, provider.AppendReply{Offset: offset})
}

// countAppend counts an append of the client.
func (l *log) countAppend(client string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends[client]++
}

// takeFault counts a switch down and reports whether it was on.
func (l *log) takeFault(count func(*LogFaults) *int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := count(&l.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (l *log) handleRead(w http.ResponseWriter, r *http.Request) {
	if !l.enter(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, "from must be an offset")
		return
	}
	limit := queryInt(r, "limit", defaultPageLimit)
	wait := time.Duration(queryInt(r, "wait_ms", 0)) * time.Millisecond
	page, ok := l.await(r, l.stream(r.PathValue("stream")), from, limit, wait)
	if !ok {
		writeError(w, http.StatusGone, provider.CodeTrimmed, "the offset is no longer kept")
		return
	}
	if !l.enter(w, r) {
		return
	}
	writeJSON(w, page)
}

// await returns the page at the offset, waiting for the next append if the
// offset is the end of the stream.
func (l *log) await(r *http.Request, s *stream, from uint64, limit int, wait time.Duration) (provider.Page, bool) {
	deadline := time.After(wait)
	for {
		page, changed, ok := s.page(from, limit)
		if !ok || len(page.Payloads) > 0 || wait == 0 {
			return page, ok
		}
		select {
		case <-changed:
		case <-deadline:
			return page, true
		case <-r.Context().Done():
			return page, true
		}
	}
}

func (l *log) handleTrim(w http.ResponseWriter, r *http.Request) {
	l.stream(r.PathValue("stream")).trim(time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (l *log) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if !readJSON(w, r, &faults) {
		return
	}
	l.mu.Lock()
	l.faults = faults
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// trimAll drops what is older than the retention from every stream.
func (l *log) trimAll(now time.Time) {
	l.mu.Lock()
	streams := make([]*stream, 0, len(l.streams))
	for _, s := range l.streams {
		streams = append(streams, s)
	}
	l.mu.Unlock()
	for _, s := range streams {
		s.trim(now.Add(-l.retention))
	}
}
