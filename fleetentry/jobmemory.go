package fleetentry

import (
	"fmt"
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// jobMemoryFraction is the part of the VM's memory that the jobs may take which have
	// been accepted and have not ended. Every entry holds them, also a smaller one.
	jobMemoryFraction = 1.0 / 6
	// minJobMB is for VMs whose memory the settings do not name, or is very small.
	minJobMB = 16
	// largeJobDivisor, largeJobsFraction: jobs that need more than that part of the limit may
	// take that fraction of it, so that they leave room for others.
	largeJobDivisor   = 64
	largeJobsFraction = 0.75
	// jobMemoryRetryAfter is when to retry a job that is not accepted for lack of memory.
	jobMemoryRetryAfter = 5 * time.Second
	// maxReservation is for how long an accepted job counts that the state does not show:
	// it is read within seconds, or has been removed.
	maxReservation = 10 * time.Second
)

// jobMemory bounds what the jobs that have not ended take together, in memory, on each entry
// that holds them.
type jobMemory struct {
	limit int64

	mu sync.Mutex
	// reserved holds the jobs that this entry is accepting or has just accepted.
	reserved map[string]reservedJob
}

type reservedJob struct {
	bytes int64
	at    time.Time
}

func newJobMemory(s settings.FleetEntry) *jobMemory {
	limit := max(minJobMB<<20, int64(float64(memoryMB(s)<<20)*jobMemoryFraction))
	return &jobMemory{limit: limit, reserved: map[string]reservedJob{}}
}

// reserve counts the job, or returns why there is no room for it.
func (m *jobMemory) reserve(v *ledger.View, sub *fleet.Submission, now time.Time) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := v.HeldBytes()
	for id, r := range m.reserved {
		if j := v.Jobs[id]; j != nil && j.Submission != nil || now.Sub(r.at) > maxReservation {
			delete(m.reserved, id)
		} else if id != sub.ID {
			held += r.bytes
		}
	}
	need, limit := sub.HeldBytes(), m.limit
	if need > m.limit/largeJobDivisor {
		limit = int64(float64(m.limit) * largeJobsFraction)
	}
	if held+need > limit {
		return fmt.Sprintf("the job needs %d kB of memory, accepted jobs hold %d of %d kB", need>>10, held>>10, limit>>10)
	}
	m.reserved[sub.ID] = reservedJob{bytes: need, at: now}
	return ""
}

// release ends the reservation of a job that was not accepted.
func (m *jobMemory) release(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reserved, id)
}
