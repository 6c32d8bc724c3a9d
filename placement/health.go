package placement

import (
	"sync/atomic"
	"time"
)

const (
	// ejectAfter is the number of consecutive failed calls that eject a target.
	ejectAfter = 2
	// firstEjection is the duration of a target's first ejection. It doubles
	// each time without a success in between, up to longestEjection.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 8 * time.Second
	// ejectionDivisor bounds the ejected targets of a pool: one in this many,
	// and at least one.
	ejectionDivisor = 3
	// slowFactor is the relative run time above which a target counts as slow.
	slowFactor = 3
	// slownessSmoothing is the weight of the latest task in the slowness.
	slownessSmoothing = 0.2
)

// health tracks the results of this entry's calls to a target.
type health struct {
	// failures counts consecutive failed calls.
	failures atomic.Int64
	// ejectedUntilUS is when the ejection ends, in Unix microseconds.
	ejectedUntilUS atomic.Int64
	// slowness is the smoothed ratio of run time to mean run time, in
	// 1/slownessUnit.
	slowness atomic.Int64
}

const slownessUnit = 1000

func (h *health) ejected(now time.Time) bool {
	return now.UnixMicro() < h.ejectedUntilUS.Load()
}

func (h *health) slow() bool {
	return h.slowness.Load() > slowFactor*slownessUnit
}

// recordSuccess records a call and its run time relative to the mean, or 0 if
// the mean is unknown.
func (h *health) recordSuccess(relativeTime float64) {
	h.failures.Store(0)
	if relativeTime > 0 {
		old := h.slowness.Load()
		h.slowness.Store(old + int64(slownessSmoothing*(relativeTime*slownessUnit-float64(old))))
	}
}

// recordFailure records a failed call and reports whether to eject the target,
// and for how long.
func (h *health) recordFailure() (time.Duration, bool) {
	excess := h.failures.Add(1) - ejectAfter
	if excess < 0 {
		return 0, false
	}
	return min(longestEjection, firstEjection<<min(excess, 8)), true
}

// RecordCall records a call to the target at the address: whether an answer was
// received, and the run time relative to the mean, or 0 if the mean is unknown.
func (p *Placer) RecordCall(address string, answered bool, relativeTime float64) {
	target := p.view.Load().byAddress[address]
	switch {
	case target == nil:
	case answered:
		target.health.recordSuccess(relativeTime)
	default:
		p.recordFailure(target)
	}
}

// recordFailure records a failed call and ejects the target after several in a
// row, unless too many of its pool are ejected.
func (p *Placer) recordFailure(target *Target) {
	duration, eject := target.health.recordFailure()
	if !eject {
		return
	}
	now := p.clock.Now()
	pool := p.view.Load().pools[target.Pool]
	if pool == nil {
		return
	}
	ejected := 0
	for _, other := range pool.targets {
		if other != target && other.health.ejected(now) {
			ejected++
		}
	}
	if ejected < max(1, len(pool.targets)/ejectionDivisor) {
		target.health.ejectedUntilUS.Store(now.Add(duration).UnixMicro())
	}
}

// betterThan compares usable targets. A rack other than that of the failed
// target comes first, then a target that is not slow, then more free slots.
func (t *Target) betterThan(other, avoided *Target) bool {
	if avoided != nil && (t.Rack == avoided.Rack) != (other.Rack == avoided.Rack) {
		return t.Rack != avoided.Rack
	}
	if t.health.slow() != other.health.slow() {
		return !t.health.slow()
	}
	return t.free.Load() > other.free.Load()
}
