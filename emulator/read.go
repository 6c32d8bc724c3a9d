package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"strings"
	"time"
)

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := queryInt(r, "from", 0)
	deadline := time.After(time.Duration(queryInt(r, "wait-ms", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		if from < t.first {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": t.first})
			return
		}
		changed := s.changed
		longPoll := queryInt(r, "wait-ms", 0) > 0
		stalled := longPoll && time.Now().Before(s.stalledUntil)
		if !stalled && from < t.end() || !longPoll {
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
			if time.Now().Before(s.stalledUntil) {
				from = t.end()
			}
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

// newestPageSize is the maximum page length, in records.
const newestPageSize = 500

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
		if len(items) == newestPageSize {
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
