package provider_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
)

// logFixture is a log under test and its fault injection.
type logFixture struct {
	provider.Log
	// setUnavailable makes the log unavailable or available.
	setUnavailable func(bool)
	// dropReply drops the reply of the next append.
	dropReply func()
	// trim drops all payloads of the stream.
	trim func(stream string)
	// exceedRateLimit makes the next append exceed the rate limit.
	exceedRateLimit func()
}

func fakeFixture(*testing.T) logFixture {
	log := fakelog.New(clockwork.NewRealClock())
	return logFixture{
		Log:             log,
		setUnavailable:  func(on bool) { log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = on }) },
		dropReply:       func() { log.SetFaults(func(f *fakelog.Faults) { f.DropReplies = 1 }) },
		trim:            func(stream string) { log.Trim(stream, 1<<62) },
		exceedRateLimit: func() { log.SetFaults(func(f *fakelog.Faults) { f.RateLimitAppends = 1 }) },
	}
}

func standinFixture(t *testing.T) logFixture {
	s := settings.DefaultStandin()
	// Allows a burst of 100 appends; the contract needs a few.
	s.AppendsPerSecond = 1000
	server, err := standin.Start(s)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	log := provider.NewHTTPLog(server.URL(), provider.NewHTTPClient())
	put := func(method, path string, body any) {
		raw, err := json.Marshal(body)
		require.NoError(t, err)
		req, err := http.NewRequest(method, server.URL()+path, bytes.NewReader(raw))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	faults := func(f standin.LogFaults) { put(http.MethodPut, "/v1/faults/log", f) }
	return logFixture{
		Log:             log,
		setUnavailable:  func(on bool) { faults(standin.LogFaults{Unavailable: on}) },
		dropReply:       func() { faults(standin.LogFaults{DropReplies: 1}) },
		trim:            func(stream string) { put(http.MethodPost, "/v1/streams/"+stream+"/trim", nil) },
		exceedRateLimit: func() { faults(standin.LogFaults{RateLimitAppends: 1}) },
	}
}

// TestLog_Contract checks that the fake and the HTTP adapter provide what their
// callers assume of the log.
func TestLog_Contract(t *testing.T) {
	fixtures := map[string]func(*testing.T) logFixture{"fake": fakeFixture, "stand-in": standinFixture}
	clauses := map[string]func(*testing.T, logFixture){
		"offsets are consecutive":          offsetsAreConsecutive,
		"a page is bounded":                pageIsBounded,
		"a read waits for the next append": readWaits,
		"past the end is an empty page":    pastTheEndIsEmpty,
		"a trimmed offset fails":           trimmedOffsetFails,
		"an unavailable log refuses":       unavailableRefuses,
		"a dropped reply is unknown":       lostReplyIsUnknown,
		"the rate limit refuses":           rateLimitRefuses,
		"streams are independent":          streamsAreIndependent,
		"a read at the end times out":      readTimesOut,
	}
	for fixture, start := range fixtures {
		for clause, check := range clauses {
			t.Run(fixture+"/"+clause, func(t *testing.T) { check(t, start(t)) })
		}
	}
}

func mustAppend(t *testing.T, log provider.Log, stream string, payloads ...string) uint64 {
	t.Helper()
	var raw [][]byte
	for _, p := range payloads {
		raw = append(raw, []byte(p))
	}
	offset, err := log.Append(context.Background(), stream, raw)
	require.NoError(t, err)
	return offset
}

func mustRead(t *testing.T, log provider.Log, stream string, from uint64, limit int, wait time.Duration) provider.Page {
	t.Helper()
	page, err := log.Read(context.Background(), stream, from, limit, wait)
	require.NoError(t, err)
	return page
}

func offsetsAreConsecutive(t *testing.T, f logFixture) {
	require.Equal(t, uint64(0), mustAppend(t, f, "s", "a", "\x00\xff"))
	require.Equal(t, uint64(2), mustAppend(t, f, "s", "c"))
	page := mustRead(t, f, "s", 0, 10, 0)
	require.Equal(t, [][]byte{[]byte("a"), {0, 0xff}, []byte("c")}, page.Payloads)
	require.Equal(t, []uint64{0, 0, 3}, []uint64{page.From, page.OldestOffset, page.NextOffset})
}

func pageIsBounded(t *testing.T, f logFixture) {
	mustAppend(t, f, "s", "a", "b", "c")
	page := mustRead(t, f, "s", 1, 1, 0)
	require.Equal(t, [][]byte{[]byte("b")}, page.Payloads)
	require.Equal(t, []uint64{1, 3}, []uint64{page.From, page.NextOffset})
}

func readWaits(t *testing.T, f logFixture) {
	mustAppend(t, f, "s", "a")
	pages := make(chan provider.Page, 1)
	go func() {
		page, _ := f.Read(context.Background(), "s", 1, 10, 10*time.Second)
		pages <- page
	}()
	mustAppend(t, f, "s", "b")
	require.Equal(t, [][]byte{[]byte("b")}, (<-pages).Payloads)
}

func readTimesOut(t *testing.T, f logFixture) {
	page := mustRead(t, f, "s", 0, 10, time.Millisecond)
	require.Empty(t, page.Payloads)
	require.Zero(t, page.NextOffset)
	require.NotEmpty(t, page.Identity)
}

func pastTheEndIsEmpty(t *testing.T, f logFixture) {
	mustAppend(t, f, "s", "a", "b")
	page := mustRead(t, f, "s", 1<<62, 10, 0)
	require.Empty(t, page.Payloads)
	require.Equal(t, []uint64{0, 2}, []uint64{page.OldestOffset, page.NextOffset})
}

func trimmedOffsetFails(t *testing.T, f logFixture) {
	mustAppend(t, f, "s", "a", "b")
	identity := mustRead(t, f, "s", 0, 1, 0).Identity
	f.trim("s")
	_, err := f.Read(context.Background(), "s", 1, 10, 0)
	require.Equal(t, provider.CodeTrimmed, provider.CodeOf(err))
	page := mustRead(t, f, "s", 2, 10, 0)
	require.Equal(t, []uint64{2, 2}, []uint64{page.OldestOffset, page.NextOffset})
	require.Equal(t, identity, page.Identity)
	require.Equal(t, uint64(2), mustAppend(t, f, "s", "c"))
}

func unavailableRefuses(t *testing.T, f logFixture) {
	f.setUnavailable(true)
	_, err := f.Append(context.Background(), "s", [][]byte{[]byte("a")})
	require.Equal(t, provider.Refused, provider.OutcomeOf(err))
	_, err = f.Read(context.Background(), "s", 0, 10, 0)
	require.Equal(t, provider.CodeUnavailable, provider.CodeOf(err))
	f.setUnavailable(false)
	require.Empty(t, mustRead(t, f, "s", 0, 10, 0).Payloads)
}

func lostReplyIsUnknown(t *testing.T, f logFixture) {
	f.dropReply()
	_, err := f.Append(context.Background(), "s", [][]byte{[]byte("a")})
	require.Equal(t, provider.Unknown, provider.OutcomeOf(err))
	require.Equal(t, [][]byte{[]byte("a")}, mustRead(t, f, "s", 0, 10, 0).Payloads)
}

func rateLimitRefuses(t *testing.T, f logFixture) {
	f.exceedRateLimit()
	_, err := f.Append(context.Background(), "s", [][]byte{[]byte("a")})
	require.Equal(t, provider.Refused, provider.OutcomeOf(err))
	require.Equal(t, provider.CodeRateLimited, provider.CodeOf(err))
	require.Empty(t, mustRead(t, f, "s", 0, 10, 0).Payloads)
}

func streamsAreIndependent(t *testing.T, f logFixture) {
	mustAppend(t, f, "s", "a")
	mustAppend(t, f, "r", "b")
	s, r := mustRead(t, f, "s", 0, 10, 0), mustRead(t, f, "r", 0, 10, 0)
	require.Equal(t, [][]byte{[]byte("b")}, r.Payloads)
	require.NotEqual(t, s.Identity, r.Identity)
	require.Equal(t, s.Identity, mustRead(t, f, "s", 1, 10, 0).Identity)
}
