package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reachableSets returns the reachable sets of members that reach one another and
// the extra ones.
func reachableSets(members []string, extra ...string) map[string][]uint32 {
	out := make(map[string][]uint32)
	for _, member := range members {
		for _, other := range append(append([]string{}, members...), extra...) {
			out[member] = append(out[member], HashIncarnation(other))
		}
	}
	return out
}

// TestFailureDetector covers which members are found unreachable after up to
// ten seconds of rounds.
func TestFailureDetector(t *testing.T) {
	members := []string{"b", "c", "d"}
	mixed := reachableSets([]string{"b", "c"})
	mixed["b"] = append(mixed["b"], HashIncarnation("d"))
	cases := []struct {
		name    string
		reached map[string][]uint32
		gap     time.Duration
		rounds  int
		want    []string
	}{
		{"all reached", reachableSets(members), HeartbeatInterval, 40, nil},
		{"one unreachable for all", reachableSets([]string{"b", "c"}), HeartbeatInterval, 40, []string{"d"}},
		{"not yet long enough", reachableSets([]string{"b", "c"}), HeartbeatInterval, 11, nil},
		{"unreachable for this entry only", reachableSets([]string{"b", "c"}, "d"), HeartbeatInterval, 40, nil},
		{"half of the others still reach it", mixed, HeartbeatInterval, 40, nil},
		{"all unreachable", nil, HeartbeatInterval, 40, members},
		{"this entry itself pauses between rounds", nil, 2 * maxRoundGap, 40, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewFailureDetector()
			at := time.Unix(1000, 0)
			var found []string
			for range c.rounds {
				found = d.Observe(Round{At: at, Members: members, ReachableSets: c.reached})
				at = at.Add(c.gap)
			}
			require.Equal(t, c.want, found)
		})
	}
}
