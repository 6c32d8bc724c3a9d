package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParseTimeout checks that no text gives a patience out of bounds.
func FuzzParseTimeout(f *testing.F) {
	for _, seed := range []string{"", "0", "1.5", "-1", "NaN", "Inf", "1e308", "1e-30", "86400", "86401", "0x1p4", "soon"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		timeout, err := parseTimeout(text)
		if err != nil || text == "" {
			require.Zero(t, timeout)
			return
		}
		require.Positive(t, timeout)
		require.LessOrEqual(t, timeout, maxTimeout)
	})
}
