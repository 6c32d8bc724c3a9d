package sizing

import (
	"math"
	"time"
)

const (
	// utilization is the part of its slots that a pool may use on average. The
	// rest takes the peaks within a window.
	utilization = 0.8
	// maxGap is the longest time that one sample stands for. A longer gap is a
	// pause of the process, of which nothing is known.
	maxGap = 5 * time.Second
)

// DemandTracker follows the pools' demand. It is not safe for concurrent use.
type DemandTracker struct {
	pools map[string]*windows
	last  time.Time
}

// NewDemandTracker returns a tracker that has seen nothing.
func NewDemandTracker() *DemandTracker {
	return &DemandTracker{pools: make(map[string]*windows)}
}

// Observe adds a sample of the pools' demand in slots, which stands for the
// time since the one before. Time that goes backwards counts as none.
func (t *DemandTracker) Observe(now time.Time, demand map[string]float64) {
	lasted := min(now.Sub(t.last), maxGap)
	if t.last.IsZero() || lasted < 0 {
		lasted = 0
	}
	t.last = now
	for pool, slots := range demand {
		if t.pools[pool] == nil {
			t.pools[pool] = &windows{}
		}
		t.pools[pool].add(slots, lasted)
	}
	for pool := range t.pools {
		if _, ok := demand[pool]; !ok {
			delete(t.pools, pool)
		}
	}
}

// RequiredVMs returns the number of VMs that each pool needs for the highest mean
// demand of the latest windows. It may be above the pool's size. Pools without
// slots are left out.
func (t *DemandTracker) RequiredVMs(sizes map[string]PoolSize) map[string]int {
	out := make(map[string]int)
	for pool, w := range t.pools {
		perVM := sizes[pool].slotsPerVM()
		if perVM > 0 {
			out[pool] = int(math.Ceil(w.highest() / (perVM * utilization)))
		}
	}
	return out
}
