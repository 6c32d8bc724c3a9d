package logstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// priorityFraction is the fraction of the rate reserved for priority
	// records.
	priorityFraction = 0.1
	// burstFraction is the fraction of a second's appends allowed in a burst.
	burstFraction = 0.1
)

// AppendLimiter limits the appends of one process to its share of the log's
// rate. All streams of the process share it. The rate is split evenly among the
// members, so that together they stay below it, and a fraction is reserved for
// batches with priority.
type AppendLimiter struct {
	clock     clockwork.Clock
	totalRate float64
	members   atomic.Int64

	mu       sync.Mutex
	splitFor int
	normal   *rate.Limiter
	reserve  *rate.Limiter
}

// NewAppendLimiter returns a limiter for a log that accepts the given number of
// appends per second, all of which this process may use until SetMembers.
func NewAppendLimiter(clock clockwork.Clock, appendsPerSecond int) *AppendLimiter {
	p := &AppendLimiter{clock: clock, totalRate: float64(appendsPerSecond)}
	p.normal = rate.NewLimiter(0, 1)
	p.reserve = rate.NewLimiter(0, 1)
	return p
}

// SetMembers sets the number of processes that share the rate.
func (p *AppendLimiter) SetMembers(count int) {
	p.members.Store(int64(count))
}

// Reserve reserves one append and returns the delay until it is allowed. With
// priority it uses the reserve if that is sooner.
func (p *AppendLimiter) Reserve(priority bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.splitRate(now)
	reservation := p.normal.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 || !priority {
		return delay
	}
	reserved := p.reserve.ReserveN(now, 1)
	if reserved.DelayFrom(now) >= delay {
		reserved.CancelAt(now)
		return delay
	}
	reservation.CancelAt(now)
	return reserved.DelayFrom(now)
}

// splitRate updates the limits if the number of members has changed.
func (p *AppendLimiter) splitRate(now time.Time) {
	members := max(1, int(p.members.Load()))
	if members == p.splitFor {
		return
	}
	p.splitFor = members
	share := p.totalRate / float64(members)
	set := func(l *rate.Limiter, perSecond float64) {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, max(1, int(perSecond*burstFraction)))
	}
	set(p.normal, share*(1-priorityFraction))
	set(p.reserve, share*priorityFraction)
}
