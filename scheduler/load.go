package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/ledger"
)

// Loads returns what a new job of each queue has to expect.
func (s *Scheduler) Loads(now time.Time) map[string]ledger.QueueLoad {
	cores := map[string]int64{}
	for _, w := range s.workers {
		if w.usable(now) {
			cores[w.info.Pool] += w.info.Capacity.MilliCPU
		}
	}
	backlog := map[string]int64{}
	for _, j := range s.jobs {
		if j.ended || j.lasting {
			continue
		}
		for _, o := range j.live {
			if o.left > 0 {
				backlog[j.queue.Pool] += int64(o.remaining * 1e6)
			}
		}
	}
	out := map[string]ledger.QueueLoad{}
	for name, q := range s.queues {
		if load := (ledger.QueueLoad{Backlog: backlog[q.Pool], Cores: cores[q.Pool]}); load.Backlog > 0 {
			out[name] = load
		}
	}
	return out
}
