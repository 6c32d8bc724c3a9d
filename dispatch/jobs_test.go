package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlaceInLine_CompetesWithRequests keeps more urgent requests waiting than there are slots:
// a job that lets them all pass finds no slot, one that waits in line does.
func TestPlaceInLine_CompetesWithRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, end := newPlacementDispatcher(1, 8), time.Now().Add(20*time.Second)
		for range 4 {
			go func() {
				for time.Now().Before(end) {
					held, _ := d.place(withTimeout(t, time.Second), urgentGrant(), "")
					if held == nil {
						continue
					}
					time.Sleep(100 * time.Millisecond)
					d.cfg.Allotment.Release("team", held.Holder)
					d.cfg.Slots.Release(held)
				}
			}()
		}
		time.Sleep(time.Second)
		_, ok := d.Place(withTimeout(t, 10*time.Second), "jobs", []string{"pool"}, "")
		require.False(t, ok, "a job that lets requests pass waits as long as they do")
		held, ok := d.PlaceInLine(withTimeout(t, time.Second), "jobs", []string{"pool"}, "")
		require.True(t, ok)
		d.GiveBack("jobs", held)
		time.Sleep(time.Minute)
	})
}
