package elapsed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

// TestLeast_JumpedWallClock checks that a jump of the wall clock lengthens no
// wait.
func TestLeast_JumpedWallClock(t *testing.T) {
	then := time.Now()
	require.Equal(t, 3*time.Second, elapsed.Min(then.Add(3*time.Second), then))
	require.Equal(t, time.Second, elapsed.Min(then.Add(3*time.Second), then.Round(0).Add(2*time.Second)))
	require.Equal(t, 3*time.Second, elapsed.Max(then.Add(3*time.Second), then))
}
