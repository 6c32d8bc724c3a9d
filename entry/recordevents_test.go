package entry

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// TestRecordEvents_OwnRecordsWithSubjects checks that the timeline gets the
// own records, applied and rejected, with their subjects.
func TestRecordEvents_OwnRecordsWithSubjects(t *testing.T) {
	ring := timeline.NewRing(8)
	r := &recordEvents{self: "e1", clock: clockwork.NewFakeClock(), ring: ring}
	result := func(writer string, command statemachine.Command, rejection *statemachine.Rejection) statemachine.Result {
		return statemachine.Result{ID: statemachine.ID{Writer: writer}, Kind: command.Kind(), Offset: 7, Command: command, Rejection: rejection}
	}
	r.observe(nil, []statemachine.Result{
		result("e1", &statemachine.VMDrain{VM: "vm-1", Wave: "w"}, nil),
		result("e2", &statemachine.VMDrain{VM: "vm-2", Wave: "w"}, nil),
		result("e1", &statemachine.LeaseRenew{}, nil),
		result("e1", &statemachine.VMDrain{VM: "vm-3", Wave: "w"}, &statemachine.Rejection{Reason: statemachine.ReasonBudget, Message: "no room"}),
	})
	events := ring.Events(timeline.Filter{Wave: "w"})
	require.Len(t, events, 2)
	require.Equal(t, "record_vm_drain", events[0].Kind)
	require.Equal(t, "vm-1", events[0].VM)
	require.EqualValues(t, 7, events[0].Offset)
	require.Equal(t, "void, budget: no room", events[1].Detail)
}
