package placement

import (
	"sync/atomic"
	"time"
)

const (
	// ejectAfter is the number of failed calls in a row that eject a target.
	ejectAfter = 2
	// firstEjection is the time of a target's first ejection. Each further one
	// without a success between lasts twice as long, up to longestEjection.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 8 * time.Second
	// ejectionDivisor bounds the targets of a pool that are ejected at once: one in
	// this many, and at least one.
	ejectionDivisor = 3
	// slowFactor is how many times as long as usual a slow target's tasks take.
	slowFactor = 3
	// slownessSmoothing is the weight of the latest task in the slowness.
	slownessSmoothing = 0.2
)

// health is what this entry has seen of a target's calls.
type health struct {
	// failures counts the failed calls in a row.
	failures atomic.Int64
	// ejectedUntilUS is when the ejection ends, in Unix microseconds.
	ejectedUntilUS atomic.Int64
	// slowness is the smoothed run time as a part of the usual one, times
	// slownessUnit.
	slowness atomic.Int64
}

const slownessUnit = 1000

func (h *health) ejected(now time.Time) bool {
	return now.UnixMicro() < h.ejectedUntilUS.Load()
}

func (h *health) slow() bool {
	return h.slowness.Load() > slowFactor*slownessUnit
}

// recordSuccess records a call that took the given part of the usual time, or 0 if
// the usual time is not known.
func (h *health) recordSuccess(part float64) {
	h.failures.Store(0)
	if part > 0 {
		old := h.slowness.Load()
		h.slowness.Store(old + int64(slownessSmoothing*(part*slownessUnit-float64(old))))
	}
}

// recordFailure records a failed call and reports whether the target is to be
// ejected, and for how long.
func (h *health) recordFailure() (time.Duration, bool) {
	over := h.failures.Add(1) - ejectAfter
	if over < 0 {
		return 0, false
	}
	return min(longestEjection, firstEjection<<min(over, 8)), true
}

// RecordCall records the end of a call to the target at the address: whether an
// answer came, and how long it took as a part of the usual time, or 0 if that
// is not known.
func (p *Placer) RecordCall(address string, answered bool, part float64) {
	target := p.view.Load().byAddress[address]
	switch {
	case target == nil:
	case answered:
		target.health.recordSuccess(part)
	default:
		p.recordFailure(target)
	}
}

// recordFailure records a failed call. The target is ejected after some in a row,
// unless too many of its pool are.
func (p *Placer) recordFailure(target *Target) {
	length, eject := target.health.recordFailure()
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
		target.health.ejectedUntilUS.Store(now.Add(length).UnixMicro())
	}
}

// betterThan compares two usable targets: one in another rack than the target
// that has failed the request first, then one that is not slow, then the freer.
func (t *Target) betterThan(other, avoided *Target) bool {
	if avoided != nil && (t.Rack == avoided.Rack) != (other.Rack == avoided.Rack) {
		return t.Rack != avoided.Rack
	}
	if t.health.slow() != other.health.slow() {
		return !t.health.slow()
	}
	return t.free.Load() > other.free.Load()
}
