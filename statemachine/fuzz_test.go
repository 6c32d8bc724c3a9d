package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeBatch checks that any payload that decodes can be encoded again and
// applied.
func FuzzDecodeBatch(f *testing.F) {
	for kind, newCommand := range commandTypes {
		raw, err := EncodeBatch(Batch{Writer: "w", AtMS: 1, Records: []Record{{Seq: 1, Command: newCommand()}}})
		require.NoError(f, err, kind)
		f.Add(raw)
	}
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"schema":2}`, `{"schema":1,"writer":""}`,
		`{"schema":1,"writer":"w","records":[{"seq":0,"kind":"pool_set","body":{}}]}`,
		`{"schema":1,"writer":"w","records":[{"seq":1,"kind":"no_such","body":{}}]}`,
		`{"schema":1,"writer":"w","records":[{"seq":1,"kind":"key_grant","body":null}]}`,
		`{"schema":1,"writer":"w","records":[{"seq":1,"kind":"allotment_adjust","body":{"team":"x","delta":-9223372036854775808}}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		batch, err := DecodeBatch(payload)
		if err != nil {
			return
		}
		require.NotEmpty(t, batch.Writer)
		raw, err := EncodeBatch(batch)
		require.NoError(t, err)
		again, err := DecodeBatch(raw)
		require.NoError(t, err)
		require.Equal(t, len(batch.Records), len(again.Records))
		state, results := New().Apply(0, batch)
		require.Equal(t, uint64(1), state.NextOffset)
		require.Len(t, results, len(batch.Records))
	})
}
