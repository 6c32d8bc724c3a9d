package pressure

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/testbed"
)

const (
	// ownMB bounds the entry's memory: what it has without clients, and what its lowered
	// settings let it hold for them.
	ownMB          = 128
	ownClientMB    = 8
	ownDescriptors = 500
)

// startOwn starts the emulated platform and one entry with its own interface.
func startOwn(t *testing.T) entryUnderTest {
	s, err := examples.Standin("apitt")
	require.NoError(t, err)
	catalog, err := examples.Catalog("apitt")
	require.NoError(t, err)
	sys := testbed.NewWithSettings(t, s, 1, func(e *settings.Entry) {
		e.ClientMemoryMB, e.MaxDescriptors = ownClientMB, ownDescriptors
	})
	sys.ApplyCatalog(catalog)
	workspace := catalog.Workspaces[0]
	sys.WaitCapacity(50, workspace.Team, workspace.Limit)
	key := sys.GrantKey(workspace.Name).Key
	cfg := sys.Entries[0].Settings
	path := "/v1/queues/" + workspace.Name + ".quotes/requests"
	authorization := "Host: " + cfg.Callers + "\r\nAuthorization: Bearer " + key + "\r\n"
	return entryUnderTest{
		pid: sys.Entries[0].PID(), address: cfg.Callers, maxBody: int(cfg.MaxBodyBytes), maxMB: ownMB, maxDescriptors: ownDescriptors,
		head:         "POST " + path + " HTTP/1.1\r\n" + authorization,
		stateRequest: "GET /v1/jobs/none HTTP/1.1\r\n" + authorization + "\r\n",
		content:      `{"work_ms":1}`,
		request: func(body string) bool {
			return post("http://"+cfg.Callers+path, cfg.Callers, key, body) == http.StatusOK
		},
	}
}

func TestOwn_AnnouncedShortOfTheEnd(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, announcedShort(e.content, e.maxBody))
}

func TestOwn_PiecesShortOfTheEnd(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, piecesShort(e.content, e.maxBody))
}

func TestOwn_LargeChunksShortOfTheEnd(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, chunkedShort(e.content, e.maxBody, 64<<10))
}

func TestOwn_TinyChunksShortOfTheEnd(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, tinyChunksShort(e.content, e.maxBody, 8))
}

func TestOwn_FarOverAnnounced(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, overAnnounced(960<<10))
}

func TestOwn_FarOverSent(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, overSent(960<<10))
}

func TestOwn_WholeAtTheLimit(t *testing.T) {
	e := startOwn(t)
	e.check(t, 150, whole(e.content, e.maxBody))
}

func TestOwn_HeadersWithoutEnd(t *testing.T) {
	e := startOwn(t)
	e.check(t, 600, headersWithoutEnd(200<<10))
}

func TestOwn_IdleConnections(t *testing.T) {
	e := startOwn(t)
	e.check(t, 700, idle)
}

func TestOwn_SlowReaders(t *testing.T) {
	e := startOwn(t)
	e.check(t, 600, slowReader(e.stateRequest, 500))
}

func TestOwn_ManyRequestsOnOneConnection(t *testing.T) {
	e := startOwn(t)
	e.check(t, 2, reader("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 10_000))
}

func TestOwn_OneAtTheLimitInCalm(t *testing.T) {
	e := startOwn(t)
	require.True(t, e.request(body(e.content, e.maxBody)))
	require.False(t, e.request(body(e.content, e.maxBody+1)))
}
