package fleetentry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// watchStarts returns the number of start requests that the VM's worker gets from now on.
func (p *testPlatform) watchStarts(vm string) func() int {
	starts := make(chan struct{}, 1000)
	p.fleet.Worker(vm).SetFault(func(path string) emulator.WorkerFault {
		if path == emulator.StartPath {
			starts <- struct{}{}
		}
		return emulator.WorkerOK
	})
	return func() int { return len(starts) }
}

// evacuatedBy reports whether all entries have read that just these zones are evacuated.
func (p *testPlatform) evacuatedBy(zones ...string) func() bool {
	return func() bool {
		for _, d := range p.liveEntries() {
			read := d.operator.Evacuations()
			if len(read) != len(zones) || len(zones) > 0 && read[0] != zones[0] {
				return false
			}
		}
		return true
	}
}

// TestEvacuation_RecordAndItsRemoval evacuates the zone of one pool and takes that back,
// with a leader that ends meanwhile, and with the store's history gone: a list of the newest
// records does not show that one was removed.
func TestEvacuation_RecordAndItsRemoval(t *testing.T) {
	t.Parallel()
	for _, trimmed := range []bool{false, true} {
		p := newTestPlatform(t, 2)
		leader := p.leader()
		p.awaitState(p.submit("books", twoSteps("short")), "completed")
		p.store.Put("keyed.op", "evacuate/z2", map[string]any{})
		require.Eventually(t, p.evacuatedBy("z2"), 3*time.Second, 10*time.Millisecond)
		starts := [...]func() int{p.watchStarts("vm-b0"), p.watchStarts("vm-b1"), p.watchStarts("vm-b2")}
		waiting := p.submit("books", twoSteps("short"))
		p.awaitState(p.submit("desk", twoSteps("short")), "completed")
		crash(leader)
		p.leader()
		p.awaitState(p.submit("desk", twoSteps("short")), "completed")
		for _, count := range starts {
			require.Zero(t, count(), "a task starts in the zone")
		}
		if trimmed {
			p.store.SetFault(func(r *http.Request) emulator.StoreFault {
				if r.URL.Query().Get("topic") == "keyed.op" {
					return emulator.StoreUnavailable
				}
				return emulator.StoreOK
			})
			time.Sleep(2 * operatorTailWait)
		}
		p.store.PutRaw("keyed.op", "evacuate/z2", nil)
		if trimmed {
			p.store.TrimHistory()
			p.store.SetFault(nil)
		}
		require.Eventually(t, p.evacuatedBy(), 5*time.Second, 10*time.Millisecond)
		p.awaitState(waiting, "completed")
		require.Empty(t, p.fleet.Violations())
	}
}

// TestEvacuation_MalformedRecords writes evacuations that name no zone of the fleet.
func TestEvacuation_MalformedRecords(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1)
	leader := p.leader()
	for _, key := range []string{"evacuate/", "evacuate/\xff\xfe", "evacuate/a\nb", "evacuate/nowhere"} {
		for _, value := range []any{"text", 5, nil, map[string]any{"zone": "z1"}} {
			p.store.Put("keyed.op", key, value)
		}
	}
	require.Eventually(t, p.evacuatedBy("nowhere"), 3*time.Second, 10*time.Millisecond)
	for _, queue := range []string{"desk", "books"} {
		p.awaitState(p.submit(queue, twoSteps("short")), "completed")
	}
	require.Equal(t, "12", leader.metrics.counters.Get("evacuations_undecodable").String())
	require.Equal(t, "1", leader.metrics.counters.Get("event_zone.evacuation_unknown").String())
}
