package provider

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHTTPVMs_List covers a server's possible replies and the adapter's
// results; one adapter runs all cases in order.
func TestHTTPVMs_List(t *testing.T) {
	status, body, tag, requestTag := 200, `[{"id":"vm-1"}]`, `"a"`, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestTag = r.Header.Get("If-None-Match")
		w.Header().Set("ETag", tag)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	vms := NewHTTPVMs(server.URL, server.Client())
	for _, c := range []struct {
		name       string
		status     int
		body       string
		tag        string
		requestTag string
		want       []VMInfo
		fails      bool
	}{
		{"first list", 200, `[{"id":"vm-1"}]`, `"a"`, "", []VMInfo{{ID: "vm-1"}}, false},
		{"not modified", 304, "", `"a"`, `"a"`, []VMInfo{{ID: "vm-1"}}, false},
		{"down", 503, `{"code":"unavailable","outcome":"refused"}`, "", `"a"`, nil, true},
		{"unreadable", 200, `[{"id"`, `"b"`, `"a"`, nil, true},
		{"still cached", 304, "", `"a"`, `"a"`, []VMInfo{{ID: "vm-1"}}, false},
		{"changed", 200, `[]`, `"c"`, `"a"`, []VMInfo{}, false},
		{"changed, no tag", 200, `[]`, "", `"c"`, []VMInfo{}, false},
		{"no cached tag", 200, `[]`, `"d"`, "", []VMInfo{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, body, tag = c.status, c.body, c.tag
			list, err := vms.List(context.Background())
			require.Equal(t, c.fails, err != nil)
			require.Equal(t, c.requestTag, requestTag)
			require.Equal(t, c.want, list)
		})
	}
}
