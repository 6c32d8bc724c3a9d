package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	buildOnce sync.Once
	buildPath string
	buildErr  error
)

// Binary builds the anvilcourse binary once per test process and returns its
// path.
func Binary(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "anvilcourse-test")
		if err != nil {
			buildErr = err
			return
		}
		buildPath = filepath.Join(dir, "anvilcourse")
		out, err := exec.Command("go", "build", "-o", buildPath, "github.com/anvilcourse/anvilcourse/cmd/anvilcourse").CombinedOutput()
		if err != nil {
			t.Log(string(out))
			buildErr = err
		}
	})
	require.NoError(t, buildErr)
	return buildPath
}
