package settings

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReference_InOperationsPage checks that docs/OPERATIONS.md holds the
// tables that the types give.
func TestReference_InOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	for name, defaults := range map[string]any{"entry": DefaultEntry(), "standin": DefaultStandin()} {
		var table bytes.Buffer
		require.NoError(t, WriteReference(&table, defaults))
		_, rest, ok := strings.Cut(string(page), "<!-- "+name+" settings -->\n")
		require.True(t, ok)
		got, _, _ := strings.Cut(rest, "<!-- end -->")
		require.Equal(t, table.String(), got, "run: anvilcourse check-settings -reference -kind %s", name)
	}
}

// FuzzDecode checks that no input crashes the reading of settings, and that
// what is accepted satisfies the rules.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{}`, `{"name":"e"}`, `{"callers":"127.0.0.1:1"}`, `{"stop_timeout":"5s"}`, `{"seeds":["x"]}`, `[`, `null`, `{"max_body_bytes":1e99}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		out := DefaultEntry()
		if err := Decode(raw, &out); err != nil {
			return
		}
		require.NoError(t, Check(out))
		require.Positive(t, out.MaxBodyBytes)
		require.NotEmpty(t, out.OperatorKeyHashes)
	})
}

// FuzzDecodeStandin is FuzzDecode for the stand-in.
func FuzzDecodeStandin(f *testing.F) {
	for _, seed := range []string{`{}`, `{"listen":"x"}`, `{"availability_zones":["a"],"pools":[{"name":"p","vms":1}]}`, `{"pools":[{}]}`, `{"slots":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		out := DefaultStandin()
		if Decode(raw, &out) == nil {
			require.NoError(t, Check(out))
			require.NotEmpty(t, out.Pools)
			require.Positive(t, out.Slots)
		}
	})
}

// FuzzDecodeCatalog checks that what is accepted as a catalog has something to
// publish.
func FuzzDecodeCatalog(f *testing.F) {
	for _, seed := range []string{`{}`, `{"pools":[{"name":"p"}],"workspaces":[{"name":"w"}]}`, `{"template":{"queues":[{"class":"x"}]}}`, `{"pools":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out Catalog
		if Decode(raw, &out) == nil {
			require.NoError(t, Check(out))
			require.NotEmpty(t, out.Pools)
			require.NotEmpty(t, out.Workspaces)
		}
	})
}
