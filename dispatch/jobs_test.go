package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlaceInLine_CompetesWithRequests keeps more requests waiting than there
// are slots: a job that yields to all of them starves, a queued one does not.
func TestPlaceInLine_CompetesWithRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, stopAt := newPlacementDispatcher(1, 8), time.Now().Add(20*time.Second)
		for range 4 {
			go func() {
				for time.Now().Before(stopAt) {
					slot, _ := d.place(withTimeout(t, time.Second), urgentGrant(), "")
					if slot == nil {
						continue
					}
					time.Sleep(100 * time.Millisecond)
					d.cfg.Allotment.Release("team", slot.Holder)
					d.cfg.Slots.Release(slot)
				}
			}()
		}
		time.Sleep(time.Second)
		_, ok := d.Place(withTimeout(t, 10*time.Second), "jobs", []string{"pool"}, "")
		require.False(t, ok, "a job that yields to requests waits as long as they do")
		slot, ok := d.PlaceQueued(withTimeout(t, time.Second), "jobs", []string{"pool"}, "")
		require.True(t, ok)
		d.ReturnSlot("jobs", slot)
		time.Sleep(time.Minute)
	})
}
