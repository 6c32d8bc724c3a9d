package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDeafWatch_JobsStartAllTheSame replays a store whose waiting reads hear of
// nothing while entries append: scale-1 of the grown sites, where jobs of the
// first second of a turn waited for 1.2 s until the owner heard of them.
func TestDeafWatch_JobsStartAllTheSame(t *testing.T) {
	w := newWorld(t, 2)
	w.owner()
	w.awaitState(w.submit("desk", twoSteps("short")), "completed")
	const deaf = 4 * time.Second
	w.store.StallWatches(deaf)
	began := time.Now()
	w.awaitState(w.submit("desk", twoSteps("short")), "completed")
	require.Less(t, time.Since(began), deaf/2, "the job waited until the watches heard again")
}
