package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// goodRate is the rate, in bytes a second, at which a request does not fall behind: a
	// quarter of the slowest link that clients have.
	goodRate = 64 << 10
	// freeHeaderBytes is the part of a header that the connection's own cost covers: the
	// server's first read, which may hold the begin of the body, too.
	freeHeaderBytes = 4 << 10
	// headerWeight is how many bytes a byte of a header takes once it is parsed: the
	// shortest lines are a key and a value of a map each.
	headerWeight = 8
	// writePiece is how much is written at once; longer responses are counted.
	writePiece = 64 << 10
	// freeWriteBytes is the size of a response that the connection's own cost covers.
	freeWriteBytes = 8 << 10
)

// Phases of a connection.
const (
	phaseIdle int32 = iota
	phaseHeader
	phaseBody
	// phaseServed is from the end of the request's read to the end of its response.
	phaseServed
)

// epoch is the origin of the times of connections. They follow the steady clock.
var epoch = time.Now()

func nanos(t time.Time) int64 { return int64(t.Sub(epoch)) }

// conn is a client's connection and what is held for its request.
type conn struct {
	net.Conn
	gate *Gate
	host string

	phase     atomic.Int32
	displaced atomic.Bool
	// unread says that the client may still be sending a body that is not read.
	unread atomic.Bool
	// startedAt, movedAt and writingSince are nanoseconds from epoch: when the request
	// began, when its last bytes came and since when a write waits, 0 for no write.
	startedAt, movedAt, writingSince atomic.Int64
	// atGate is set while the request waits for room, which is no fault of its client.
	atGate atomic.Bool
	// received is how many bytes of the request have come since startedAt.
	received atomic.Int64
	// held is written under the gate's lock, which guards gone and stalled, too.
	held          atomic.Int64
	gone, stalled bool
	// readWhole says that the body of the request being served has been read; only the
	// request's handler uses it.
	readWhole bool
	// deadlineMu orders the deadlines of reads against the end of the request.
	deadlineMu sync.Mutex
	closed     sync.Once
}

// begin starts a phase in which the client has to send.
func (c *conn) begin(phase int32, now time.Time) {
	c.startedAt.Store(nanos(now))
	c.movedAt.Store(nanos(now))
	c.received.Store(0)
	c.phase.Store(phase)
}

// waitAtGate marks the request as waiting for room. The function that it returns ends that,
// and leaves the time out of what the client has taken.
func (c *conn) waitAtGate() func() {
	began := time.Now()
	c.atGate.Store(true)
	return func() {
		c.startedAt.Add(int64(time.Since(began)))
		c.movedAt.Store(nanos(time.Now()))
		c.atGate.Store(false)
	}
}

// lag is how far the client is behind: the time for which it has stood still, or by which
// it is slower than goodRate. It is 0 while the entry has the request.
func (c *conn) lag(now time.Time) time.Duration {
	at := nanos(now)
	if c.atGate.Load() {
		return 0
	}
	switch c.phase.Load() {
	case phaseServed:
		if since := c.writingSince.Load(); since != 0 {
			return time.Duration(at - since)
		}
		return 0
	case phaseIdle:
		return time.Duration(at - c.movedAt.Load())
	default:
		slow := time.Duration(at-c.startedAt.Load()) - time.Duration(c.received.Load()*int64(time.Second)/goodRate)
		return max(time.Duration(at-c.movedAt.Load()), slow)
	}
}

// Read implements net.Conn. It counts what a header takes beyond the ordinary.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	switch c.phase.Load() {
	case phaseServed:
		return n, err
	case phaseIdle:
		c.begin(phaseHeader, time.Now())
	default:
		c.movedAt.Store(nanos(time.Now()))
	}
	received := c.received.Add(int64(n))
	if c.phase.Load() != phaseHeader || received <= freeHeaderBytes {
		return n, err
	}
	counted := min(int64(n), received-freeHeaderBytes)
	if holdErr := c.gate.hold(c, counted*headerWeight, 0); holdErr != nil {
		c.gate.refuseHeader(c)
		// The HTTP server ends a connection whose read fails without a response.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: holdErr}
	}
	return n, err
}

// Write implements net.Conn. The client has the stall time to take each piece.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) > freeWriteBytes {
		c.gate.holdUnchecked(c, int64(len(p)))
		defer c.gate.release(c, int64(len(p)))
	}
	defer c.writingSince.Store(0)
	written := 0
	for {
		c.writingSince.Store(nanos(time.Now()))
		c.gate.watch()
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite half-closes the connection, as the HTTP server does after a refusal.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.unread.Swap(false) {
		c.linger()
	}
	c.closed.Do(func() { c.gate.remove(c) })
	return c.Conn.Close()
}

// extendRead sets the deadline of reads, unless the request has been given up.
func (c *conn) extendRead(deadline time.Time) {
	if c.Conn == nil {
		return
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.displaced.Load() {
		// A closed connection fails its next read.
		_ = c.SetReadDeadline(deadline)
	}
}

// endRead lets the request's pending read, and all later ones, fail.
func (c *conn) endRead() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	// A closed connection fails its reads, too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
