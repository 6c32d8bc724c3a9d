package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	clientHost     = "desk.example"
	clientPrefix   = "/orders/"
	clientKey      = "key-1"
	clientDeadline = 3 * time.Second
)

// client calls the entries as the platform's clients do: each attempt at the next entry in
// rotation, with a time limit.
type client struct {
	http    *http.Client
	entries []*entry
	record  *record
	next    int
}

func newClient(rec *record, entries []*entry, first int) *client {
	return &client{entries: entries, record: rec, next: first, http: &http.Client{Timeout: clientDeadline}}
}

// rotate returns the next entry.
func (c *client) rotate() *entry {
	c.next++
	return c.entries[c.next%len(c.entries)]
}

// call makes one attempt. Status 0 means that there was no answer.
func (c *client) call(e *entry, method, id string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, "http://"+e.callers+clientPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.logf("%s %s at %s: no answer", method, id, e.name)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		c.record.logf("%s %s at %s: no answer", method, id, e.name)
		return 0, nil
	}
	if method != http.MethodGet || resp.StatusCode != http.StatusOK {
		c.record.logf("%s %s at %s (%d bytes): %d %s", method, id, e.name, len(body), resp.StatusCode, bytes.TrimSpace(answer))
	}
	return resp.StatusCode, answer
}

// submit hands a job in, with at most four retries.
func (c *client) submit(id string, body []byte) bool {
	for range 5 {
		if status, _ := c.call(c.rotate(), http.MethodPost, id, body); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the job's state; "" means that there was none.
func (c *client) state(e *entry, id string) string {
	status, answer := c.call(e, http.MethodGet, id, nil)
	var reply struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &reply) != nil {
		return ""
	}
	return reply.State
}

// awaitEnd asks for the state until the job is completed, or the time is over.
func (c *client) awaitEnd(id string, limit time.Duration) bool {
	return waitUntil(limit, func() bool {
		done := c.state(c.rotate(), id) == "completed"
		if !done {
			time.Sleep(150 * time.Millisecond)
		}
		return done
	}) == nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x1100_0000_0000_0000+n) }

// phase is a step of a job.
type phase struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMB    int    `json:"mem-mb"`
	Estimate int    `json:"est-runtime-ms"`
	Image    string `json:"image,omitempty"`
	// Gang tasks work only together, RackLocal ones take longer on several racks.
	Gang      bool `json:"gang,omitempty"`
	RackLocal bool `json:"rack-local,omitempty"`
	// LongRunning tasks run until their job is cancelled; MayMiss of them may be away at once.
	LongRunning bool `json:"long-running,omitempty"`
	MayMiss     int  `json:"may-miss,omitempty"`
	// AntiAffinity is how many of the tasks one worker may have; 0 for any.
	AntiAffinity int `json:"anti-affinity,omitempty"`
}

func jobBody(spec string, phases ...phase) []byte {
	raw, err := json.Marshal(map[string]any{"spec": spec, "phases": phases})
	if err != nil {
		panic(err)
	}
	return raw
}

// manifest is what the operator publishes for a small site.
func manifest(version int, pool string, weight, milliCPU int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "orders", "host": clientHost, "path-prefix": clientPrefix, "service": pool, "kind": "non_idempotent",
			"timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 3, "stretch": 1.6, "public": false}},
		"services": []any{map[string]any{"name": pool, "health-path": "/healthz", "max-conns": 64, "admission-check": false, "standby": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants":  []any{map[string]any{"name": "member", "api-keys": []string{clientKey}, "weight": weight, "cap": map[string]int{"cpu": milliCPU}}},
	}
}
