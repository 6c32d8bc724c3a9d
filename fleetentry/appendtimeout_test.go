package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAppendTimeout_LostResponsesAndSlowStores covers a store that loses responses,
// and one that becomes sixty times slower.
func TestAppendTimeout_LostResponsesAndSlowStores(t *testing.T) {
	var timeout appendTimeout
	timeout.recordLatency(5 * time.Millisecond)
	timeout.recordTimeout()
	timeout.recordLatency(5 * time.Millisecond)
	require.Equal(t, minAppendTimeout, timeout.next(), "a lost response must not delay later ones")

	slowLatency := 600 * time.Millisecond
	attempts := 0
	for timeout.next() < slowLatency {
		timeout.recordTimeout()
		attempts++
	}
	require.LessOrEqual(t, attempts, 2, "a slow store is retried too often")
	timeout.recordLatency(slowLatency)
	require.GreaterOrEqual(t, timeout.next(), slowLatency)
	for range 10 {
		timeout.recordTimeout()
	}
	require.Equal(t, maxAppendTimeout, timeout.next())
}
