package quota

import (
	"flag"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// init fixes the seed and the number of schedules of the property tests, so
// that their verdict is the same every time. Flags of the command line win.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// searchFactor is how many times as many schedules a search for one broken
// schedule may take. The rarest fault shows in one schedule of 300.
const searchFactor = 10

// searchLonger raises the number of schedules for a test that stops at the
// first broken one.
func searchLonger(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks").Value
	before := checks.String()
	count, err := strconv.Atoi(before)
	require.NoError(t, err)
	require.NoError(t, checks.Set(strconv.Itoa(searchFactor*count)))
	t.Cleanup(func() { require.NoError(t, checks.Set(before)) })
}
