package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTimeout is gang-timeout-ms: how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gang is one run of tasks that work only together.
type gang struct {
	size     int
	duration time.Duration

	mu      sync.Mutex
	members int
	// complete is when all members were present; zero for not yet.
	complete time.Time
	// broken is when a member left before the end; zero for none.
	broken time.Time
}

// joinGang adds a run to the gang of its step and attempt.
func (r *record) joinGang(task string, attempt int, kind jobKind) *gang {
	name := fmt.Sprintf("%s run %d", task[:strings.LastIndexByte(task, '.')], attempt)
	r.mu.Lock()
	g, known := r.gangs[name]
	if !known {
		g = &gang{size: kind.gang, duration: kind.duration}
		r.gangs[name] = g
	}
	r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members++
	if g.members == g.size {
		g.complete = time.Now()
	}
	return g
}

// leave notes that a member has ended before the others.
func (g *gang) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken.IsZero() {
		g.broken = time.Now()
	}
}

// end returns when and how a member ends that has been present since the time.
func (g *gang) end(since time.Time) (at time.Time, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.complete.IsZero() && !g.broken.IsZero():
		return g.broken, "broken"
	case !g.complete.IsZero():
		return g.complete.Add(g.duration), "done"
	default:
		return since.Add(gangTimeout), "alone"
	}
}
