package fleetentry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// TestTakeover_LostReadsOfNewestRecords loses the first read of all newest records of
// an entries' stream and of the list of workers, as a store that drops single responses
// does. The fleet must not be without a leader until the longest timeout of a read has
// passed.
func TestTakeover_LostReadsOfNewestRecords(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 0)
	var mu sync.Mutex
	lost := map[string]bool{"keyed.jobs-5": false, "keyed.servers": false}
	p.store.SetFault(func(r *http.Request) emulator.StoreFault {
		mu.Lock()
		defer mu.Unlock()
		topic := r.URL.Query().Get("topic")
		if already, relevant := lost[topic]; r.URL.Path == emulator.NewestPath && relevant && !already {
			lost[topic] = true
			return emulator.StoreHangs
		}
		return emulator.StoreOK
	})
	started := time.Now()
	p.startEntry()
	p.leader()
	require.Less(t, time.Since(started), takeoverTimeout, "a lost response keeps the fleet without a leader")
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[string]bool{"keyed.jobs-5": true, "keyed.servers": true}, lost)
}
