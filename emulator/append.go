package emulator

import (
	"encoding/binary"
	"io"
	"net/http"
)

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
	if asOf := queryInt(r, "as-of", -1); asOf >= 0 && asOf != t.end() {
		writeJSON(w, http.StatusPreconditionFailed, appendResponse{End: t.end()})
		return
	}
	id := r.URL.Query().Get("producer")
	if id == "" {
		writeJSON(w, http.StatusOK, s.add(t, contents))
		return
	}
	s.appendFenced(w, t, id, queryInt(r, "epoch", 0), queryInt(r, "sequence", 0), contents)
}

// keptResponses is how many of a producer's last responses are kept for
// repeated appends.
const keptResponses = 5

func (s *Store) appendFenced(w http.ResponseWriter, t *topic, id string, epoch, sequence int64, contents [][]byte) {
	p, known := t.producers[id]
	if !known {
		p = &producer{responses: map[int64]appendResponse{}}
		t.producers[id] = p
	}
	switch {
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch})
		return
	case epoch > p.epoch:
		*p = producer{epoch: epoch, responses: map[int64]appendResponse{}}
	}
	if response, repeated := p.responses[sequence]; repeated {
		writeJSON(w, http.StatusOK, response)
		return
	}
	if p.started && sequence != p.sequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	}
	p.started, p.sequence = true, sequence
	response := s.add(t, contents)
	p.responses[sequence] = response
	delete(p.responses, sequence-keptResponses)
	writeJSON(w, http.StatusOK, response)
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
