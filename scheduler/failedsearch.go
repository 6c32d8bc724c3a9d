package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// maxFailedSearches bounds how many searches a round remembers.
const maxFailedSearches = 16

// failedSearch is a need that no worker of the pool has room for in this round. Room only
// becomes less within a round, so that larger needs are not searched for: in a full pool
// thousands of steps wait.
type failedSearch struct {
	need fleet.Resources
	run  time.Duration
	// priority is the queue's: reservations keep off less urgent work only.
	priority int
}

// covers reports whether a search for the need must fail as well.
func (f *failedSearch) covers(need fleet.Resources, run time.Duration, priority int) bool {
	return need.MilliCPU >= f.need.MilliCPU && need.MemMB >= f.need.MemMB && need.GPU >= f.need.GPU && run >= f.run && priority >= f.priority
}

// searchFails reports whether an earlier search of the round shows that no worker has
// room for the step's tasks.
func (p *poolRound) searchFails(st *step, need fleet.Resources, run time.Duration) bool {
	for i := range p.failed {
		if p.failed[i].covers(need, run, st.occurrence.job.queue.Priority) {
			return true
		}
	}
	return false
}

// recordFailedSearch remembers a search that failed for want of room only.
func (p *poolRound) recordFailedSearch(st *step, need fleet.Resources, run time.Duration) {
	if len(p.failed) < maxFailedSearches && !waitsForMoreThanRoom(st) {
		p.failed = append(p.failed, failedSearch{need: need, run: run, priority: st.occurrence.job.queue.Priority})
	}
}
