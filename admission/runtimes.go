package admission

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// stepsPerOctave is the number of buckets for each doubling of the time.
	stepsPerOctave = 8
	bucketCount    = 40 * stepsPerOctave
	// windowLength is how long a run time counts at least. It expires after two
	// windows.
	windowLength = 5 * time.Second
	// summaryMaxAge is how long a computed quantile and mean are reused.
	summaryMaxAge = 20 * time.Millisecond
)

// RunTimes estimates the run time of a queue's requests from recent ones. Its
// methods are safe for concurrent use and take no lock.
type RunTimes struct {
	current  atomic.Pointer[window]
	previous atomic.Pointer[window]
	summary  atomic.Pointer[summary]
}

// summary holds statistics of the windows at one time.
type summary struct {
	computedAt time.Time
	fraction   float64
	quantile   time.Duration
	mean       time.Duration
	samples    int64
}

// window is a histogram of the run times of one windowLength.
type window struct {
	started time.Time
	counts  [bucketCount]atomic.Int64
	sumUS   atomic.Int64
	samples atomic.Int64
}

// NewRunTimes returns estimates without observations.
func NewRunTimes(now time.Time) *RunTimes {
	r := &RunTimes{}
	r.current.Store(&window{started: now})
	r.previous.Store(&window{started: now})
	return r
}

// Observe adds the run time of a task that completed at the given time.
func (r *RunTimes) Observe(now time.Time, took time.Duration) {
	w := r.rotate(now)
	w.counts[bucketOf(took)].Add(1)
	w.sumUS.Add(took.Microseconds())
	w.samples.Add(1)
}

// rotate starts a new window once the current one is over.
func (r *RunTimes) rotate(now time.Time) *window {
	w := r.current.Load()
	age := now.Sub(w.started)
	if age < windowLength {
		return w
	}
	next := &window{started: now}
	if !r.current.CompareAndSwap(w, next) {
		return r.current.Load()
	}
	if age >= 2*windowLength {
		w = &window{started: now}
	}
	r.previous.Store(w)
	return next
}

// Quantile returns the given quantile of the recent run times, or 0 without
// observations. It exceeds the exact quantile by less than an eighth.
func (r *RunTimes) Quantile(now time.Time, fraction float64) time.Duration {
	return r.summarize(now, fraction).quantile
}

// Mean returns the mean of the recent run times, or 0 without observations.
func (r *RunTimes) Mean(now time.Time, fraction float64) time.Duration {
	return r.summarize(now, fraction).mean
}

// summarize returns the cached summary, or a new one if it is too old.
func (r *RunTimes) summarize(now time.Time, fraction float64) *summary {
	if s := r.summary.Load(); s != nil && s.fraction == fraction && now.Sub(s.computedAt) < summaryMaxAge {
		return s
	}
	current := r.rotate(now)
	previous := r.previous.Load()
	s := &summary{computedAt: now, fraction: fraction, samples: current.samples.Load() + previous.samples.Load()}
	if s.samples > 0 {
		s.mean = time.Duration((current.sumUS.Load()+previous.sumUS.Load())/s.samples) * time.Microsecond
		s.quantile = quantile(current, previous, int64(fraction*float64(s.samples)))
	}
	r.summary.Store(s)
	return s
}

// quantile returns the upper bound of the bucket that holds the rank.
func quantile(a, b *window, rank int64) time.Duration {
	for i := range bucketCount {
		rank -= a.counts[i].Load() + b.counts[i].Load()
		if rank < 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(bucketCount - 1)
}

// bucketOf returns the bucket of a time: exact below stepsPerOctave
// microseconds, and stepsPerOctave buckets for each doubling above.
func bucketOf(took time.Duration) int {
	us := uint64(max(0, took.Microseconds()))
	if us < stepsPerOctave {
		return int(us)
	}
	octave := bits.Len64(us) - bits.Len64(stepsPerOctave)
	step := us >> octave
	return min(bucketCount-1, octave*stepsPerOctave+int(step))
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	if bucket < stepsPerOctave {
		return time.Duration(bucket+1) * time.Microsecond
	}
	octave := bucket/stepsPerOctave - 1
	step := uint64(bucket%stepsPerOctave + stepsPerOctave)
	return time.Duration((step+1)<<octave) * time.Microsecond
}
