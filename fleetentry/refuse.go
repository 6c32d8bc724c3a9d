package fleetentry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// refuse decides whether a new job is turned away because the work ahead of it
// takes longer than the job can wait and still be on time. It returns when there
// will be room.
func refuse(_ *fleet.Submission, _ *fleet.Queue, _ ledger.QueueLoad) (time.Duration, bool) {
	return 0, false
}
