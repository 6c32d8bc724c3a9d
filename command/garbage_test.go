package command

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeapUse_Target covers the collector's target by size and use.
func TestHeapUse_Target(t *testing.T) {
	const mb = 1 << 20
	cases := []struct {
		name      string
		scanned   uint64
		allocated uint64
		want      int
	}{
		{"nothing collected yet", 0, mb, firstPercent},
		{"idle and tiny", mb / 2, 0, maxPercent},
		{"idle", 4 * mb, mb, 125},
		{"idle and large", 64 * mb, mb, 25},
		{"some use", 4 * mb, 4 * mb, 200},
		{"some use, large", 64 * mb, 16 * mb, 50},
		{"busy", 4 * mb, 400 * mb, maxPercent},
		{"busy and large", 64 * mb, 400 * mb, maxPercent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := heapUse{allocated: 7 * mb}
			require.Equal(t, c.want, heapUse{scanned: c.scanned, allocated: 7*mb + c.allocated}.target(before))
		})
	}
}

// TestIsWorthChange covers which changes of the target stop the process.
func TestIsWorthChange(t *testing.T) {
	for _, c := range []struct {
		present, target int
		want            bool
	}{{100, 100, false}, {100, 119, false}, {100, 121, true}, {100, 79, true}, {400, 100, true}, {0, 1, true}} {
		require.Equal(t, c.want, isWorthChange(c.present, c.target), c)
	}
}
