package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckConfig_ExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := write("good.json", `{"version":1,"limits":{"max-body-bytes":1000}}`)
	newer := write("newer.json", `{"version":2,"limits":{"max-body-bytes":500}}`)
	warned := write("warned.json", `{"version":1}`)
	bad := write("bad.json", `{"version":1,"routes":[{"name":"q"}]}`)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{good}, 0, "0 findings, 0 differences"},
		{[]string{warned}, 0, "warning: limits.max-body-bytes"},
		{[]string{bad}, 1, "error: routes[0].host"},
		{[]string{newer, "--against", good}, 0, "reduced: limit of a body, in bytes: 1000 to 500"},
		{[]string{"-against", good, newer}, 0, "1 differences"},
		{[]string{filepath.Join(dir, "none.json")}, 2, ""},
		{[]string{good, "-against", bad + "x"}, 2, ""},
		{nil, 2, ""},
		{[]string{good, newer}, 2, ""},
	} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, c.code, Run(context.Background(), append([]string{"check-config"}, c.args...), &stdout, &stderr), "%v: %s", c.args, stderr.String())
		require.Contains(t, stdout.String(), c.want)
	}
	var stdout, stderr bytes.Buffer
	require.Equal(t, 1, Run(context.Background(), []string{"check-config", bad, "-json"}, &stdout, &stderr))
	var report configReport
	require.NoError(t, json.Unmarshal(stdout.Bytes(), &report))
	require.NotEmpty(t, report.Findings)
	require.Empty(t, report.Differences)
}
