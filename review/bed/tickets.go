package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// ticketOffice is the stand-in of the service that knows which workers a queue's policy
// allows. A ticket holds during one life of its worker.
type ticketOffice struct {
	bed     *bed
	allowed map[string]bool
	decide  time.Duration
	period  time.Duration
	validMS int64

	mu      sync.Mutex
	granted map[string]time.Time
	turn    sync.Mutex
}

func ticketOf(id string, born time.Time) string { return fmt.Sprintf("%s-%x", id, born.UnixMilli()) }

// valid reports whether the ticket is of the worker's life and has not expired.
func (o *ticketOffice) valid(id string, born time.Time, ticket string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, known := o.granted[ticket]
	return known && ticket == ticketOf(id, born) && time.Since(at) < time.Duration(o.validMS)*time.Millisecond
}

// ServeHTTP implements http.Handler.
func (o *ticketOffice) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Step    string   `json:"step-id"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	o.turn.Lock()
	time.Sleep(o.decide + time.Duration(len(req.Workers))*o.period)
	o.turn.Unlock()
	granted := [][2]string{}
	for _, id := range req.Workers {
		if born, up := o.bed.bornOf(id); up && o.allowed[id] {
			ticket := ticketOf(id, born)
			granted = append(granted, [2]string{id, ticket})
			o.mu.Lock()
			o.granted[ticket] = time.Now()
			o.mu.Unlock()
		}
	}
	o.bed.note("advice for %s on %v: %v", req.Step, req.Workers, granted)
	rw.Header().Set("Content-Type", "application/json")
	must(json.NewEncoder(rw).Encode(map[string]any{"granted": granted, "valid-ms": o.validMS}))
}

// bornOf returns the start of the worker's life.
func (b *bed) bornOf(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.workers {
		if w.id == id {
			return w.life.born, true
		}
	}
	return time.Time{}, false
}
