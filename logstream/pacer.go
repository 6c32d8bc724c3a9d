package logstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// reservedPart is the part of the log's rate that is kept for priority
	// records.
	reservedPart = 0.1
	// burstPart is the part of a second's appends that may go out at once.
	burstPart = 0.1
)

// AppendLimiter keeps the appends of one process to its part of the log's rate. All
// streams of the process share it. It divides the rate evenly among the
// members, so that together they stay below it, and holds back a part of it
// for batches with priority.
type AppendLimiter struct {
	clock   clockwork.Clock
	total   float64
	members atomic.Int64

	mu       sync.Mutex
	divided  int
	ordinary *rate.Limiter
	reserve  *rate.Limiter
}

// NewAppendLimiter returns a pacer for a log that takes the given number of appends
// a second, of which this process has all until SetMembers.
func NewAppendLimiter(clock clockwork.Clock, appendsPerSecond int) *AppendLimiter {
	p := &AppendLimiter{clock: clock, total: float64(appendsPerSecond)}
	p.ordinary = rate.NewLimiter(0, 1)
	p.reserve = rate.NewLimiter(0, 1)
	return p
}

// SetMembers sets the number of processes that share the rate.
func (p *AppendLimiter) SetMembers(count int) {
	p.members.Store(int64(count))
}

// Reserve takes the right to one append and returns how long to wait for it.
// With priority it uses the reserve if that is sooner.
func (p *AppendLimiter) Reserve(priority bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.divide(now)
	reservation := p.ordinary.ReserveN(now, 1)
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

// divide sets the limits anew if the number of members has changed.
func (p *AppendLimiter) divide(now time.Time) {
	members := max(1, int(p.members.Load()))
	if members == p.divided {
		return
	}
	p.divided = members
	part := p.total / float64(members)
	set := func(l *rate.Limiter, perSecond float64) {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, max(1, int(perSecond*burstPart)))
	}
	set(p.ordinary, part*(1-reservedPart))
	set(p.reserve, part*reservedPart)
}
