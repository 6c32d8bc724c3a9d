package scheduler

import (
	"sort"
	"time"
)

// releases tells how much CPU of a pool becomes free by when.
type releases struct {
	ends []release
}

// release is the expected end of one run.
type release struct {
	at       time.Time
	milliCPU int64
}

func (r *releases) add(at time.Time, milliCPU int64) {
	r.ends = append(r.ends, release{at: at, milliCPU: milliCPU})
}

// sort puts the ends in order; the sums of until need it.
func (r *releases) sort() {
	sort.Slice(r.ends, func(i, k int) bool { return r.ends[i].at.Before(r.ends[k].at) })
}

// until returns the CPU that becomes free by the time, in millicores.
func (r *releases) until(at time.Time) int64 {
	sum := int64(0)
	for _, end := range r.ends {
		if end.at.After(at) {
			break
		}
		sum += end.milliCPU
	}
	return sum
}
