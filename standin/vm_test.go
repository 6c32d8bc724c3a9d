package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
)

// TestVM_RestartsAtItsPositionOnly checks that a restart call that was held up
// until the VM drains again, with a task from between, ends nothing.
func TestVM_RestartsAtItsPositionOnly(t *testing.T) {
	now := time.UnixMilli(0)
	v := newVM(provider.VMInfo{ID: "vm", Slots: 1}, newRecorder())
	empty := v.list().Position()
	require.False(t, v.restart(empty, now), "it does not drain")
	v.setDraining(true, now)
	require.False(t, v.restart(provider.TaskListPosition{}, now), "another position")
	require.True(t, v.restart(empty, now))
	require.True(t, v.restart(empty, now), "a call that comes twice")

	v.setDraining(false, now)
	lease, code := v.acquire(provider.SlotRequest{Holder: "e", TTL: time.Second}, now)
	require.Empty(t, code)
	order := &task{status: provider.TaskStatus{ID: "order", State: provider.TaskRunning}, cancel: func() {}}
	require.Empty(t, v.start(order, lease.ID, now))
	v.setDraining(true, now)
	require.False(t, v.restart(empty, now))
	require.Equal(t, provider.TaskRunning, order.status.State)
	require.Zero(t, v.recorder.snapshot().InterruptedTasks)
}
