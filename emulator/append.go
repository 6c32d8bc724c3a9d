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
