package replay

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzRead checks that arbitrary input is either rejected or can be replayed.
func FuzzRead(f *testing.F) {
	for _, path := range []string{"apitt-keys", "apitt-refusals", "pakhtun-refusals"} {
		raw, err := os.ReadFile("../testdata/traces/" + path + ".jsonl")
		require.NoError(f, err)
		f.Add(raw)
	}
	for _, step := range []string{
		`{"order":{}}`, `{"job":{"silent":true}}`, `{"plan":{}}`, `{"line":{}}`, `{"line":{"free":true}}`, `{"append":{}}`,
		`{"line":{"ran":{"count":1000000000}}}`, `{"line":{"teams":{"capacity":-1,"teams":[{"weight":-1}]}}}`,
	} {
		f.Add([]byte("{}\n" + step))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		trace, err := Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(Play(trace)), len(trace.Steps))
	})
}
