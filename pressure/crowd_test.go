package pressure

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// sendTimeout ends the sending of a client that the entry no longer reads.
	sendTimeout = 10 * time.Second
	// piece is how much a client sends at once that sends piece by piece.
	piece = 8 << 10
)

// client is one client of a crowd: it sends and then stays open.
type client struct {
	net.Conn
	head string
}

// text sends the text, as far as the entry takes it.
func (c client) text(s string) bool {
	_, err := io.WriteString(c.Conn, s)
	return err == nil
}

// header sends the request line and the headers of a submission.
func (c client) header(more string) bool { return c.text(c.head + more + "\r\n") }

// chunk sends one chunk of a chunked body.
func (c client) chunk(data string) bool {
	return c.text(fmt.Sprintf("%x\r\n%s\r\n", len(data), data))
}

// behaviour is what a client of a crowd sends before it stays open.
type behaviour func(c client, n int)

// open connects the crowd and returns once every client has sent all that the entry
// takes. The connections stay open until the test ends.
func open(t *testing.T, address, head string, size int, behave behaviour) {
	var group sync.WaitGroup
	for n := range size {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				// The entry, or the kernel for it, turns the client away.
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil {
				return
			}
			behave(client{Conn: conn, head: head}, n)
		})
	}
	group.Wait()
}

// body is a valid body of the size: white space may follow JSON.
func body(content string, size int) string {
	return content + strings.Repeat(" ", size-len(content))
}

// announcedShort announces a legal body and sends it whole but for its last byte.
func announcedShort(content string, size int) behaviour {
	text := body(content, size)
	return func(c client, _ int) {
		_ = c.header(fmt.Sprintf("Content-Length: %d\r\n", size)) && c.text(text[:size-1])
	}
}

// piecesShort is announcedShort piece by piece.
func piecesShort(content string, size int) behaviour {
	text := body(content, size)
	return func(c client, _ int) {
		ok := c.header(fmt.Sprintf("Content-Length: %d\r\n", size))
		for at := 0; ok && at < size-1; at += piece {
			ok = c.text(text[at:min(at+piece, size-1)])
			time.Sleep(time.Millisecond)
		}
	}
}

// chunkedShort sends a legal body in chunks and neither its last chunk nor its end.
func chunkedShort(content string, size, chunk int) behaviour {
	text := body(content, size)
	return func(c client, _ int) {
		ok := c.header("Transfer-Encoding: chunked\r\n")
		for at := 0; ok && at < size-chunk; at += chunk {
			ok = c.chunk(text[at : at+chunk])
		}
	}
}

// tinyChunksShort is chunkedShort with chunks of a few bytes, many in one write.
func tinyChunksShort(content string, size, chunk int) behaviour {
	text := body(content, size)
	var wire bytes.Buffer
	for at := 0; at < size-chunk; at += chunk {
		fmt.Fprintf(&wire, "%x\r\n%s\r\n", chunk, text[at:at+chunk])
	}
	whole := wire.String()
	return func(c client, _ int) { _ = c.header("Transfer-Encoding: chunked\r\n") && c.text(whole) }
}

// overAnnounced announces a body far over the limit, and sends a good part of it.
func overAnnounced(sent int) behaviour {
	text := body("", sent)
	return func(c client, _ int) { _ = c.header("Content-Length: 1000000000\r\n") && c.text(text) }
}

// overSent sends chunks far over the limit, without an end.
func overSent(sent int) behaviour {
	text := body("", 64<<10)
	return func(c client, _ int) {
		ok := c.header("Transfer-Encoding: chunked\r\n")
		for at := 0; ok && at < sent; at += len(text) {
			ok = c.chunk(text)
		}
	}
}

// whole sends a whole legal body.
func whole(content string, size int) behaviour {
	text := body(content, size)
	return func(c client, _ int) { _ = c.header(fmt.Sprintf("Content-Length: %d\r\n", size)) && c.text(text) }
}

// headersWithoutEnd sends many short headers and no end of them.
func headersWithoutEnd(size int) behaviour {
	var lines strings.Builder
	for n := 0; lines.Len() < size; n++ {
		fmt.Fprintf(&lines, "H%x:\r\n", n)
	}
	text := lines.String()
	return func(c client, _ int) { _ = c.text(c.head) && c.text(text) }
}

// idle sends nothing.
func idle(client, int) {}

// slowReader sends many requests and reads none of the responses.
func slowReader(request string, count int) behaviour {
	text := strings.Repeat(request, count)
	return func(c client, _ int) { _ = c.text(text) }
}

// reader sends requests one after the other and reads each response.
func reader(request string, count int) behaviour {
	return func(c client, _ int) {
		buffer := make([]byte, 4<<10)
		for range count {
			if !c.text(request) || c.SetReadDeadline(time.Now().Add(sendTimeout)) != nil {
				return
			}
			if _, err := c.Read(buffer); err != nil {
				return
			}
		}
	}
}

// entryUnderTest is a running entry and what is needed to call it.
type entryUnderTest struct {
	pid     int
	address string
	// head is a submission's request line and headers; stateRequest is a whole request
	// that carries no body.
	head         string
	stateRequest string
	// content is the content of a job, maxBody the largest body, in bytes.
	content string
	maxBody int
	// maxMB and maxDescriptors are the bounds, from the entry's settings.
	maxMB, maxDescriptors int64
	// request sends an ordinary request with the body and reports whether it was served.
	request func(body string) bool
}

// check lets the crowd press on the entry and holds the entry against the bounds.
func (e entryUnderTest) check(t *testing.T, size int, behave behaviour) {
	w := watch(t, e.pid)
	open(t, e.address, e.head, size, behave)
	w.settle(t)
	served := false
	for deadline := time.Now().Add(time.Minute); !served && w.alive() && time.Now().Before(deadline); {
		served = e.request(e.content)
	}
	t.Logf("crowd of %d: peak %d MB of %d, %d descriptors of %d", size, w.peakMB(t), e.maxMB, w.descriptors.Load(), e.maxDescriptors)
	require.True(t, w.alive(), "the process has ended")
	require.LessOrEqual(t, w.peakMB(t), e.maxMB, "resident memory, MB")
	require.LessOrEqual(t, w.descriptors.Load(), e.maxDescriptors, "open descriptors")
	require.True(t, served, "an ordinary request is served beside the crowd")
}
