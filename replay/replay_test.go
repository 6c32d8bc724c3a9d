package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readTrace(t *testing.T, path string) Trace {
	t.Helper()
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	trace, err := Read(file)
	require.NoError(t, err)
	return trace
}

// TestPlay_Traces replays every recorded trace against its stated outcomes.
func TestPlay_Traces(t *testing.T) {
	paths, err := filepath.Glob("../testdata/traces/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace := readTrace(t, path)
			require.NotEmpty(t, trace.Steps)
			require.NotEmpty(t, trace.Header.Guarantee)
			require.Empty(t, Play(trace))
		})
	}
}

// TestPlay_NamesDeviations checks that a step with another outcome is named.
func TestPlay_NamesDeviations(t *testing.T) {
	trace := readTrace(t, "../testdata/traces/apitt-keys.jsonl")
	for i, step := range trace.Steps {
		if step.Request != nil {
			step.Request.Outcome = "stated otherwise"
			require.Equal(t, i+1, Play(trace)[0].Step)
			return
		}
	}
}

// TestTrace_WriteRead checks that a written trace reads back the same.
func TestTrace_WriteRead(t *testing.T) {
	trace := readTrace(t, "../testdata/traces/pakhtun-limit.jsonl")
	var buf bytes.Buffer
	require.NoError(t, trace.Write(&buf))
	again, err := Read(&buf)
	require.NoError(t, err)
	require.Equal(t, trace, again)
}

// TestRead_Refuses lists inputs that are no trace.
func TestRead_Refuses(t *testing.T) {
	for name, text := range map[string]string{
		"empty":          "",
		"no JSON":        "trace",
		"step of no use": "{}\n{}",
		"both members":   `{}` + "\n" + `{"append":{},"request":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(text))
			require.Error(t, err)
		})
	}
}
