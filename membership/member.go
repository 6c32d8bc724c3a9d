package membership

import (
	"time"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Member is what this entry knows of another one.
type Member struct {
	Incarnation string
	Address     string
	// SentAt is the time at which the answered heartbeat was sent: what the
	// member said was true at this time or later.
	SentAt time.Time
	// Last is the member's last answer. It must not be changed.
	Last *peerpb.Heartbeat
}
