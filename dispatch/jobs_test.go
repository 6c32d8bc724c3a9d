package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlace_JobInLine keeps more urgent requests waiting than there are slots:
// a job that lets them all pass finds no slot, one that waits in line does.
func TestPlace_JobInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, end := newPlacing(1, 8), time.Now().Add(20*time.Second)
		for range 4 {
			go func() {
				for time.Now().Before(end) {
					held, _ := d.place(withPatience(t, time.Second), placingGrant(), "")
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
		_, ok := d.Place(withPatience(t, 10*time.Second), "jobs", []string{"pool"}, "")
		require.False(t, ok, "a job that lets requests pass waits as long as they do")
		held, ok := d.PlaceQueued(withPatience(t, time.Second), "jobs", []string{"pool"}, "")
		require.True(t, ok)
		d.ReturnSlot("jobs", held)
		time.Sleep(time.Minute)
	})
}
