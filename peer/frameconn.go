package peer

import "net"

const (
	// yamuxHeaderBytes is the size of the header of a yamux frame.
	yamuxHeaderBytes = 12
	// yamuxTypeAt and yamuxLengthAt are the offsets in the header of the frame's
	// type and of the length of its body, 4 bytes.
	yamuxTypeAt   = 1
	yamuxLengthAt = 8
	yamuxTypeData = 0
	// maxJoinedBytes bounds the bodies that are copied behind their header.
	maxJoinedBytes = 4 << 10
)

// frameConn sends the header and a short body of a frame in one write; yamux
// writes them separately. Write is for one goroutine, as yamux uses it.
type frameConn struct {
	net.Conn
	// header is the buffered header whose body is written next.
	header []byte
}

// Write implements net.Conn. A header is buffered until its body is written.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && hasBody(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	if len(p) > maxJoinedBytes {
		return c.writeSeparately(p)
	}
	c.header = append(c.header, p...)
	n, err := c.Conn.Write(c.header)
	c.header = c.header[:0]
	return max(0, n-yamuxHeaderBytes), err
}

// writeSeparately writes the header and a long body without a copy.
func (c *frameConn) writeSeparately(body []byte) (int, error) {
	_, err := c.Conn.Write(c.header)
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(body)
}

// hasBody reports whether p is a header that a body follows.
func hasBody(p []byte) bool {
	if len(p) != yamuxHeaderBytes || p[yamuxTypeAt] != yamuxTypeData {
		return false
	}
	return [4]byte(p[yamuxLengthAt:]) != [4]byte{}
}
