package scheduler

import (
	"fmt"
	"sort"
	"time"
)

// poolReportInterval bounds the log volume: pool states are logged at most once per
// interval.
const poolReportInterval = time.Second

// reportPools logs the state of every pool as of the last plan.
func (s *Scheduler) reportPools(now time.Time) {
	if now.Sub(s.poolsReportedAt) < poolReportInterval {
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
		limit := ""
		if p.limited {
			limit = fmt.Sprintf(", of which %d are entitled in a short fleet", p.entitled)
		}
		s.emit(Event{Kind: "pool.planned", ID: name, Reason: fmt.Sprintf(
			"%d VMs and %d incoming, %d millicores for a demand of %d: %d running, %d waiting, %d arriving%s; the list of VMs is %d ms old",
			len(p.vms), p.incoming, p.capacity, p.demand, p.running, p.waiting, p.arriving, limit, now.Sub(s.vmsListedAt).Milliseconds())})
	}
}
