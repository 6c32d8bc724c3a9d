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

// logService is the append-only log.
type logService struct {
	limiter   *rate.Limiter
	retention time.Duration

	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*stream
	appends map[string]int
}

func newLogService(appendsPerSecond int, retention time.Duration) *logService {
	return &logService{
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), max(1, appendsPerSecond/10)),
		retention: retention,
		streams:   make(map[string]*stream),
		appends:   make(map[string]int),
	}
}

func (l *logService) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	mux.HandleFunc("POST /v1/streams/{stream}/trim", l.handleTrim)
	mux.HandleFunc("PUT /v1/faults/log", l.handleFaults)
}

func (l *logService) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

// applyFaults applies the faults that affect every call. It reports whether the
// call may proceed.
func (l *logService) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.DelayMS > 0 {
		sleepOrCancel(r, time.Duration(faults.DelayMS)*time.Millisecond)
	}
	if faults.Unavailable || slices.Contains(faults.Disconnected, r.UserAgent()) {
		writeError(w, http.StatusServiceUnavailable, provider.CodeUnavailable, "the log is down")
		return false
	}
	return true
}

func (l *logService) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	var body provider.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, err.Error())
		return
	}
	if l.consumeFault(func(f *LogFaults) *int { return &f.DropAppends }) {
		panic(http.ErrAbortHandler)
	}
	if !l.limiter.Allow() || l.consumeFault(func(f *LogFaults) *int { return &f.RateLimitAppends }) {
		writeError(w, http.StatusTooManyRequests, provider.CodeRateLimited, "the append rate limit is exceeded")
		return
	}
	offset := l.stream(r.PathValue("stream")).append(body.Payloads, time.Now())
	l.countAppend(r.UserAgent())
	if l.consumeFault(func(f *LogFaults) *int { return &f.DropReplies }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, provider.AppendReply{Offset: offset})
}

func (l *logService) countAppend(client string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends[client]++
}

// consumeFault decrements a fault counter and reports whether it was above 0.
func (l *logService) consumeFault(count func(*LogFaults) *int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := count(&l.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (l *logService) handleRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, "from must be an offset")
		return
	}
	limit := queryInt(r, "limit", defaultPageLimit)
	wait := time.Duration(queryInt(r, "wait_ms", 0)) * time.Millisecond
	page, ok := l.awaitPage(r, l.stream(r.PathValue("stream")), from, limit, wait)
	if !ok {
		writeError(w, http.StatusGone, provider.CodeTrimmed, "the offset is no longer kept")
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	writeJSON(w, page)
}

// awaitPage returns the page at the offset. At the end of the stream it waits
// for the next append.
func (l *logService) awaitPage(r *http.Request, s *stream, from uint64, limit int, wait time.Duration) (provider.Page, bool) {
	deadline := time.After(wait)
	for {
		page, changed, ok := s.readPage(from, limit)
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

func (l *logService) handleTrim(w http.ResponseWriter, r *http.Request) {
	l.stream(r.PathValue("stream")).trim(time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (l *logService) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if !readJSON(w, r, &faults) {
		return
	}
	l.mu.Lock()
	l.faults = faults
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// trimExpired deletes payloads older than the retention from every stream.
func (l *logService) trimExpired(now time.Time) {
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
