package quota

import (
	"flag"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// init fixes the seed and the number of schedules of the property tests, so
// that their result is reproducible. Command-line flags take precedence.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// scheduleFactor multiplies the number of schedules for a search for one
// violation. The rarest one occurs in one schedule of 300.
const scheduleFactor = 10

// raiseScheduleCount raises the number of schedules for a test that stops at
// the first violation.
func raiseScheduleCount(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks").Value
	before := checks.String()
	count, err := strconv.Atoi(before)
	require.NoError(t, err)
	require.NoError(t, checks.Set(strconv.Itoa(scheduleFactor*count)))
	t.Cleanup(func() { require.NoError(t, checks.Set(before)) })
}
