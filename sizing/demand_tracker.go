package sizing

import (
	"math"
	"time"
)

const (
	// maxMeanUtilization is the fraction of its slots that a pool may use on
	// average. The rest absorbs the peaks within a window.
	maxMeanUtilization = 0.8
	// maxSampleDuration is the maximum time that one sample covers. A longer
	// gap is a pause of the process, in which demand is unknown.
	maxSampleDuration = 5 * time.Second
)

// DemandTracker averages the pools' demand over time windows. It is not safe
// for concurrent use.
type DemandTracker struct {
	pools map[string]*windows
	last  time.Time
}

// NewDemandTracker returns a tracker without samples.
func NewDemandTracker() *DemandTracker {
	return &DemandTracker{pools: make(map[string]*windows)}
}

// Observe adds a sample of the pools' demand in slots, which covers the time
// since the previous one. A clock stepped backwards counts as no time.
func (t *DemandTracker) Observe(now time.Time, demand map[string]float64) {
	elapsed := min(now.Sub(t.last), maxSampleDuration)
	if t.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	t.last = now
	for pool, slots := range demand {
		if t.pools[pool] == nil {
			t.pools[pool] = &windows{}
		}
		t.pools[pool].add(slots, elapsed)
	}
	for pool := range t.pools {
		if _, ok := demand[pool]; !ok {
			delete(t.pools, pool)
		}
	}
}

// RequiredVMs returns the number of VMs that each pool needs for the highest
// mean demand of the latest windows. It may exceed the pool's size. Pools
// without slots are omitted.
func (t *DemandTracker) RequiredVMs(sizes map[string]PoolSize) map[string]int {
	out := make(map[string]int)
	for pool, w := range t.pools {
		perVM := sizes[pool].slotsPerVM()
		if perVM > 0 {
			out[pool] = int(math.Ceil(w.highest() / (perVM * maxMeanUtilization)))
		}
	}
	return out
}
