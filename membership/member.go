package membership

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Member is what this entry knows of another one.
type Member struct {
	Incarnation string
	Address     string
	// SentAt is the time at which the answered heartbeat was sent: what the
	// member said was true at this time or later.
	SentAt time.Time
	// LastHeartbeat is the member's last answer. It must not be changed.
	LastHeartbeat *peerpb.Heartbeat
}

// ControlStaleness returns the age of the member's proof at the given time, unless
// the member has had a later one since it answered. It is beyond any bound if
// the member told none.
func (m Member) ControlStaleness(now time.Time) time.Duration {
	told := m.LastHeartbeat.GetControlAgeMs()
	if told < 0 {
		return math.MaxInt64
	}
	return time.Duration(told)*time.Millisecond + elapsed.Max(now, m.SentAt)
}
