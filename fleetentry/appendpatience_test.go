package fleetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPatience_LostAnswersAndSlowStores replays a store that loses answers, and
// one that turns sixty times slower.
func TestPatience_LostAnswersAndSlowStores(t *testing.T) {
	var p appendPatience
	p.answered(5 * time.Millisecond)
	p.silent()
	p.answered(5 * time.Millisecond)
	require.Equal(t, leastPatience, p.timeout(), "a lost answer must not make later ones wait")

	slow := 600 * time.Millisecond
	tries := 0
	for p.timeout() < slow {
		p.silent()
		tries++
	}
	require.LessOrEqual(t, tries, 2, "a slow store is tried again too often")
	p.answered(slow)
	require.GreaterOrEqual(t, p.timeout(), slow)
	for range 10 {
		p.silent()
	}
	require.Equal(t, mostPatience, p.timeout())
}
