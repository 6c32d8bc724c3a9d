package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestView_JobsByArrival orders jobs whatever the order of their records, and one that was
// cancelled before its submission was read.
func TestView_JobsByArrival(t *testing.T) {
	v := NewView()
	require.NoError(t, v.Apply(CancellationRecord("unknown", 1)))
	for _, sub := range []fleet.Submission{{ID: "c", ArrivedMillis: 20}, {ID: "b", ArrivedMillis: 30}, {ID: "a", ArrivedMillis: 20}} {
		require.NoError(t, v.Apply(SubmissionRecord(sub)))
	}
	var order []string
	for _, j := range v.JobsByArrival() {
		order = append(order, j.id())
	}
	require.Equal(t, []string{"", "a", "c", "b"}, order)
}
