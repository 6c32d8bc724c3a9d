package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testLimit = 64 << 10

// startGate serves the gate's body reader, with the body's length as the response.
func startGate(t testing.TB, limits Limits) (*Gate, string) {
	g := NewGate(limits, hclog.NewNullLogger())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, refusal := g.ReadBody(r, testLimit)
		if refusal != nil {
			refusal.SetHeaders(w.Header())
			w.WriteHeader(refusal.Status)
			return
		}
		fmt.Fprint(w, len(body))
	}))
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

func testLimits() Limits {
	return Limits{HeldBytes: 4 * testLimit, Connections: 64, HeaderBytes: 32 << 10, Stall: time.Minute, HeaderTimeout: time.Minute}
}

// send opens a connection and sends the text.
func send(t testing.TB, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

// answer reads a response; status 0 means that the connection ended without one.
func answer(t testing.TB, conn net.Conn) (status int, body string, resp *http.Response) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", nil
	}
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw), resp
}

func heldBytes(g *Gate) int64 { return g.Counters()["clients_held_bytes"] }

func TestReadBody_ServesUpToTheLimit(t *testing.T) {
	g, address := startGate(t, testLimits())
	for _, size := range []int{0, 1, firstBuffer, testLimit - 1, testLimit} {
		for _, text := range []string{post(size, strings.Repeat("x", size)), chunked(strings.Repeat("x", size)) + "0\r\n\r\n"} {
			if size == 0 {
				text = post(0, "")
			}
			status, body, _ := answer(t, send(t, address, text))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, fmt.Sprint(size), body)
		}
	}
	require.Eventually(t, func() bool { return heldBytes(g) == 0 }, 10*time.Second, time.Millisecond)
}

func TestReadBody_RefusesOverTheLimitAtOnce(t *testing.T) {
	g, address := startGate(t, testLimits())
	for _, text := range []string{post(1<<40, "x"), chunked(strings.Repeat("x", testLimit+1))} {
		status, _, resp := answer(t, send(t, address, text))
		require.Equal(t, http.StatusRequestEntityTooLarge, status)
		require.True(t, resp.Close)
	}
	require.EqualValues(t, 2, g.Counters()["clients_refused_too_large"])
}

func TestReadBody_EndsOneThatStandsStill(t *testing.T) {
	limits := testLimits()
	limits.Stall = 50 * time.Millisecond
	_, address := startGate(t, limits)
	status, _, _ := answer(t, send(t, address, post(10, "x")))
	require.Equal(t, http.StatusRequestTimeout, status)
}

// TestReadBody_DisplacesWhoStandsStill fills the gate with bodies short of their end. A
// request that is sent whole takes the place of one of them.
func TestReadBody_DisplacesWhoStandsStill(t *testing.T) {
	g, address := startGate(t, testLimits())
	var crowd []net.Conn
	for range 3 {
		crowd = append(crowd, send(t, address, post(testLimit, strings.Repeat("x", testLimit-1))))
	}
	require.Eventually(t, func() bool { return heldBytes(g) == 3*testLimit }, 10*time.Second, time.Millisecond)
	status, _, _ := answer(t, send(t, address, post(testLimit, strings.Repeat("x", testLimit))))
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, g.Counters()["clients_displaced"])
	refused := 0
	for _, conn := range crowd {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		if status, _, resp := answer(t, conn); status == http.StatusServiceUnavailable {
			require.Equal(t, "1", resp.Header.Get("Retry-After"))
			refused++
		}
	}
	require.Equal(t, 1, refused)
}

// TestHold_SmallRequestsBesideLargeOnes checks that large requests leave a part, and that a
// request that has been read whole stays.
func TestHold_SmallRequestsBesideLargeOnes(t *testing.T) {
	g := NewGate(testLimits(), hclog.NewNullLogger())
	served := &conn{gate: g}
	require.NoError(t, g.hold(served, 3*testLimit, 0))
	require.NoError(t, g.markWhole(served))
	require.ErrorIs(t, g.hold(&conn{gate: g}, testLimit, 0), errNoRoom)
	require.NoError(t, g.hold(&conn{gate: g}, smallRequestBytes, 0))
	require.False(t, served.displaced.Load())
}

func TestConnections_NewcomerTakesThePlaceOfAnIdleOne(t *testing.T) {
	limits := testLimits()
	limits.Connections = 3
	g, address := startGate(t, limits)
	for range 3 {
		send(t, address, "")
	}
	require.Eventually(t, func() bool { return g.Counters()["clients_connections"] == 3 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		status, _, _ := answer(t, send(t, address, post(1, "x")))
		return status == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
	require.LessOrEqual(t, g.Counters()["clients_connections"], int64(3))
}

// TestHeaders_Count sends headers without an end: they count, and the connection ends
// without a response once there is no room.
func TestHeaders_Count(t *testing.T) {
	limits := testLimits()
	limits.HeldBytes = 16 << 10
	g, address := startGate(t, limits)
	conn := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", 3000))
	status, _, _ := answer(t, conn)
	require.Zero(t, status)
	require.EqualValues(t, 1, g.Counters()["clients_closed_header_no_room"])
}

// TestGate_NeverBeyondItsBound draws requests that hold, release and end, against a sum.
func TestGate_NeverBeyondItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(testLimits(), hclog.NewNullLogger())
		conns := make([]*conn, 5)
		sums := make([]int64, len(conns))
		for i := range conns {
			conns[i] = &conn{gate: g}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(conns)-1).Draw(t, "request")
			switch n := rapid.Int64Range(1, 2*testLimit).Draw(t, "bytes"); {
			case n%3 == 0:
				g.releaseAll(conns[i])
				sums[i] = 0
			case g.hold(conns[i], n, 0) == nil:
				sums[i] += n
			}
			total := int64(0)
			for _, n := range sums {
				total += n
			}
			require.Equal(t, total, heldBytes(g))
			require.LessOrEqual(t, total, g.limits.HeldBytes)
		}
	})
}

// TestWrite_EndsAReaderThatStandsStill writes more than the kernel holds for a client that
// does not read.
func TestWrite_EndsAReaderThatStandsStill(t *testing.T) {
	limits := testLimits()
	limits.Stall = 100 * time.Millisecond
	g := NewGate(limits, hclog.NewNullLogger())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	}))
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	send(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Error(t, <-ended)
	require.EqualValues(t, 1, g.Counters()["clients_closed_slow_reader"])
	require.Eventually(t, func() bool { return heldBytes(g) == 0 }, 10*time.Second, time.Millisecond)
}

// TestConnections_EndWithTheirResponseWhilePressed fills the places with clients that send
// request after request: each loses its place once a newcomer has found none.
func TestConnections_EndWithTheirResponseWhilePressed(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	_, address := startGate(t, limits)
	busy := send(t, address, post(1, "x"))
	reader := bufio.NewReader(busy)
	exchange := func() *http.Response {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.False(t, exchange().Close)
	status, _, _ := answer(t, send(t, address, ""))
	require.Zero(t, status, "the newcomer finds no place")
	_, err := io.WriteString(busy, post(1, "x"))
	require.NoError(t, err)
	require.True(t, exchange().Close)
}

// TestReadBody_RefusalReachesAClientThatStillSends sends bodies over the limit with a client
// that reads responses while it sends, and ends its connections with each request. Before
// connections lingered, a third of the refusals were lost to a reset.
func TestReadBody_RefusalReachesAClientThatStillSends(t *testing.T) {
	_, address := startGate(t, testLimits())
	body := strings.Repeat("x", 4*testLimit+1)
	client := http.Client{Timeout: 20 * time.Second}
	for n := range 200 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(body))
		require.NoError(t, err)
		req.Close = n%2 == 0
		resp, err := client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	}
}

// TestReadBody_ClientThatWaitsToBeAsked sends headers only: the entry asks for a body that it
// reads, and refuses one over the limit at once.
func TestReadBody_ClientThatWaitsToBeAsked(t *testing.T) {
	_, address := startGate(t, testLimits())
	head := "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
	conn := send(t, address, fmt.Sprintf(head, 3))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = io.WriteString(conn, "abc")
	require.NoError(t, err)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	status, _, _ := answer(t, send(t, address, fmt.Sprintf(head, testLimit+1)))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
}

// TestHold_WaitIsNoLag lets two requests wait for room: the one that gets it has not been
// asked for a byte yet, and must not be displaced for the time for which it waited.
func TestHold_WaitIsNoLag(t *testing.T) {
	g := NewGate(Limits{HeldBytes: 10_000, Connections: 10, Stall: 5 * time.Second}, hclog.NewNullLogger())
	newConn := func() *conn {
		end, other := net.Pipe()
		t.Cleanup(func() { _ = end.Close(); _ = other.Close() })
		c := g.admit(end, time.Now())
		c.begin(phaseBody, time.Now())
		return c
	}
	first, waiting := newConn(), []*conn{newConn(), newConn()}
	require.NoError(t, g.hold(first, 6000, 0))
	first.phase.Store(phaseServed)
	var group sync.WaitGroup
	for _, c := range waiting {
		group.Go(func() { _ = g.hold(c, 6000, holdPatience) })
	}
	time.Sleep(minHoldLag + 100*time.Millisecond)
	g.releaseAll(first)
	group.Wait()
	for _, c := range waiting {
		require.False(t, c.displaced.Load())
	}
}

// TestWhole_NotAfterTheConnectionIsGone gives the place of a connection to another one while
// its request is read: the request does not run.
func TestWhole_NotAfterTheConnectionIsGone(t *testing.T) {
	g := NewGate(Limits{HeldBytes: 10_000, Connections: 1, Stall: 5 * time.Second}, hclog.NewNullLogger())
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	past := time.Now().Add(-2 * minConnLag)
	c := g.admit(a, past)
	c.begin(phaseBody, past)
	require.NoError(t, g.hold(c, 100, 0))
	require.NotNil(t, g.admit(b, time.Now()))
	require.Error(t, g.markWhole(c))
}
