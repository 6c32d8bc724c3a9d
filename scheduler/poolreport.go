package scheduler

import (
	"fmt"
	"sort"
	"time"
)

// poolReportEvery bounds the log: what a pool has and needs is noted once in
// that time at most.
const poolReportEvery = time.Second

// reportPools notes what the last plan knew of every pool.
func (s *Scheduler) reportPools(now time.Time) {
	if now.Sub(s.poolsReportedAt) < poolReportEvery {
		return
	}
	s.poolsReportedAt = now
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p := s.pools[name]
		s.note(Event{Kind: "pool.planned", ID: name, Reason: fmt.Sprintf(
			"%d VMs and %d to come, %d millicores for a demand of %d: %d running, %d waiting, %d arriving; the list of VMs is %d ms old",
			len(p.vms), p.incoming, p.capacity, p.demand, p.running, p.waiting, p.arriving, now.Sub(s.vmsAt).Milliseconds())})
	}
}
