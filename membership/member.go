package membership

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Member is the last response of another entry.
type Member struct {
	Incarnation string
	Address     string
	// SentAt is the time at which the answered heartbeat was sent: what the
	// member reported was true at this time or later.
	SentAt time.Time
	// LastHeartbeat is the member's last response. It must not be changed.
	LastHeartbeat *peerpb.Heartbeat
}

// ControlStaleness returns an upper bound of the member's staleness at the given
// time. It is the maximum duration if the member reported none.
func (m Member) ControlStaleness(now time.Time) time.Duration {
	reported := m.LastHeartbeat.GetControlAgeMs()
	if reported < 0 {
		return math.MaxInt64
	}
	return time.Duration(reported)*time.Millisecond + elapsed.Max(now, m.SentAt)
}
