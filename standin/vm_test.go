package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
)

// TestVM_RejectsRebootAtStalePosition checks that a delayed reboot call
// does not interrupt a task that the VM has started between two drains.
func TestVM_RejectsRebootAtStalePosition(t *testing.T) {
	now := time.UnixMilli(0)
	v := newVM(provider.VMInfo{ID: "vm", Slots: 1}, newRecorder())
	empty := v.taskList().Position()
	require.False(t, v.rebootIfIdle(empty, now), "the VM is not draining")
	v.setDraining(true, now)
	require.False(t, v.rebootIfIdle(provider.TaskListPosition{}, now), "the position differs")
	require.True(t, v.rebootIfIdle(empty, now))
	require.True(t, v.rebootIfIdle(empty, now), "a duplicate call")

	v.setDraining(false, now)
	lease, code := v.acquireSlot(provider.SlotRequest{Holder: "e", TTL: time.Second}, now)
	require.Empty(t, code)
	running := &task{status: provider.TaskStatus{ID: "order", State: provider.TaskRunning}, cancel: func() {}}
	require.Empty(t, v.startTask(running, lease.ID, now))
	v.setDraining(true, now)
	require.False(t, v.rebootIfIdle(empty, now))
	require.Equal(t, provider.TaskRunning, running.status.State)
	require.Zero(t, v.recorder.snapshot().InterruptedTasks)
}
