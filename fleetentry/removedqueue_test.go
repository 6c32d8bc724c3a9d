package fleetentry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// publishWithout publishes a manifest that lacks the queue, and waits until all entries
// have activated it.
func (p *testPlatform) publishWithout(version int, queue string) {
	m := testManifest(version)
	kept := []any{}
	for _, route := range m["routes"].([]any) {
		if route.(map[string]any)["name"] != queue {
			kept = append(kept, route)
		}
	}
	m["routes"] = kept
	p.store.PublishManifest(m)
	p.awaitManifest(int64(version))
}

func (p *testPlatform) awaitManifest(version int64) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		for _, d := range p.liveEntries() {
			if m := d.operator.Manifest(); m == nil || m.Version < version {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond, "an entry has not activated manifest %d", version)
}

// TestTakeover_RemovedQueueEndsAcceptedJobs guards against a new leader that ends accepted
// jobs as failed, or leaves them, because the manifest no longer has their queue.
func TestTakeover_RemovedQueueEndsAcceptedJobs(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	p.fleet.DefineTasks("fails once", 50*time.Millisecond, 1000, false, true)
	previous := p.leader()
	failing := p.submit("desk", emulator.JobBody("fails once", emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 100}))
	firstTask := jobIDOf(failing) + ".0.0.0"
	require.Eventually(t, func() bool {
		if p.fleet.Starts(firstTask) == 1 {
			p.fleet.DefineTasks("fails once", 3*time.Second, 1000, false, false)
		}
		return p.fleet.Starts(firstTask) == 2
	}, 10*time.Second, time.Millisecond, "the task does not run again")
	chained := p.submit("desk", emulator.JobBody("long", emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 700},
		emulator.Step{Count: 1, MilliCPU: 1000, EstimateMillis: 700, DependsOn: []int{0}}))
	p.publishWithout(5, "q-desk")
	crash(previous)
	p.leader()
	require.Eventually(t, func() bool { return p.fleet.Starts(jobIDOf(chained)+".0.1.0") == 1 }, 10*time.Second, 10*time.Millisecond,
		"the second step of an accepted job does not start while its queue is removed")
	p.publish(6)
	p.awaitManifest(6)
	status, body := p.call(http.MethodGet, failing, testKey, "")
	require.Equal(t, http.StatusOK, status)
	require.NotEqual(t, "failed", body["state"], "one run of three has failed")
	p.awaitState(failing, "completed")
	p.awaitState(chained, "completed")
	require.Empty(t, p.fleet.Violations())
}
