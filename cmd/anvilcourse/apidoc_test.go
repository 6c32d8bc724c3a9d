package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/testbed"
)

// example is one call of docs/API.md with its stated answer.
type example struct {
	target  string
	method  string
	path    string
	headers map[string]string
	body    string
	// statuses are those that the call may have; a job may end meanwhile.
	statuses []int
	answer   string
}

var examplePattern = regexp.MustCompile("(?s)```(callers|operators)\n(.*?)\n```\n```answer\n([\\d|]+)\n(.*?)\n```")

func readExamples(t *testing.T) []example {
	t.Helper()
	raw, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	var out []example
	for _, m := range examplePattern.FindAllStringSubmatch(string(raw), -1) {
		head, body, _ := strings.Cut(m[2], "\n\n")
		lines := strings.Split(head, "\n")
		method, path, _ := strings.Cut(lines[0], " ")
		e := example{target: m[1], method: method, path: path, headers: map[string]string{}, body: body, answer: m[4]}
		for text := range strings.SplitSeq(m[3], "|") {
			status, err := strconv.Atoi(text)
			require.NoError(t, err)
			e.statuses = append(e.statuses, status)
		}
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ": ")
			e.headers[name] = value
		}
		out = append(out, e)
	}
	require.Equal(t, strings.Count(string(raw), "```answer"), len(out), "every example must be readable")
	return out
}

// TestAPI_Examples executes every example of docs/API.md, in order, and checks
// the status and the members of each stated answer.
func TestAPI_Examples(t *testing.T) {
	s, err := examples.Standin("apitt")
	require.NoError(t, err)
	sys := testbed.New(t, s, 1)
	base := map[string]string{
		"callers":   "http://" + sys.Entries[0].Settings.Callers,
		"operators": "http://" + sys.Entries[0].Settings.Operators,
	}
	uuid := newOrderKey(t)
	pairs := []string{"{uuid}", uuid}
	for _, e := range readExamples(t) {
		values := strings.NewReplacer(pairs...)
		if strings.Contains(e.path, "/requests") && e.statuses[0] == http.StatusOK {
			sys.WaitCapacity(10, "porto", 60)
		}
		req, err := http.NewRequest(e.method, base[e.target]+values.Replace(e.path), strings.NewReader(values.Replace(e.body)))
		require.NoError(t, err)
		if e.target == "operators" {
			req.Header.Set("Authorization", "Bearer "+testbed.OperatorKey)
		}
		for name, value := range e.headers {
			req.Header.Set(name, values.Replace(value))
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Contains(t, e.statuses, resp.StatusCode, "%s %s: %s", e.method, e.path, raw)
		got := requireAnswer(t, e, raw)
		if key, ok := got["key"].(string); ok {
			pairs = append(pairs, "{key}", key, "{hash}", got["hash"].(string))
		}
		if id, ok := got["id"].(string); ok && resp.StatusCode == http.StatusAccepted {
			pairs = append(pairs, "{job}", id)
		}
	}
}

// requireAnswer checks that the answer has the stated members. Members whose
// value depends on the run are not compared.
func requireAnswer(t *testing.T, e example, raw []byte) map[string]any {
	t.Helper()
	if !strings.HasPrefix(e.answer, "{") {
		require.Equal(t, strings.HasPrefix(e.answer, "["), strings.HasPrefix(string(raw), "["), string(raw))
		return nil
	}
	var stated, got map[string]any
	require.NoError(t, json.Unmarshal([]byte(e.answer), &stated), e.answer)
	require.NoError(t, json.Unmarshal(raw, &got), string(raw))
	for member, value := range stated {
		require.Contains(t, got, member, "%s %s", e.method, e.path)
		switch member {
		case "title", "status", "outcome", "name", "applied":
			require.Equal(t, value, got[member], "%s %s: %s", e.method, e.path, member)
		}
	}
	return got
}
