package ledger

import (
	"strconv"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// Wave is the progress of a maintenance wave.
type Wave struct {
	// FirstSeenAtMillis is when an entry first saw the wave.
	FirstSeenAtMillis int64 `json:"b"`
	// StartedVMs names the VMs whose maintenance has started.
	StartedVMs []string `json:"d,omitempty"`
}

// WaveRecord returns the record of a wave's progress.
func WaveRecord(number int64, w Wave) fleet.Record {
	return record(kindWave, strconv.FormatInt(number, 10), w)
}
