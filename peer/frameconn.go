package peer

import "net"

const (
	// yamuxHeaderBytes is the size of the header of a yamux frame.
	yamuxHeaderBytes = 12
	// yamuxTypeAt and yamuxLengthAt are the places of the frame's type and of
	// the length of its body, 4 bytes, in the header.
	yamuxTypeAt   = 1
	yamuxLengthAt = 8
	yamuxTypeData = 0
	// maxJoinedBytes bounds the bodies that are copied behind their header.
	maxJoinedBytes = 4 << 10
)

// frameConn sends the header and a short body of a frame in one write, which
// yamux writes one after the other. Its Write is for one goroutine, as yamux uses it.
type frameConn struct {
	net.Conn
	// header is the header whose body comes next.
	header []byte
}

// Write implements net.Conn. A header that a body follows is kept until then.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && hasBody(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	if len(p) > maxJoinedBytes {
		return c.writeApart(p)
	}
	c.header = append(c.header, p...)
	n, err := c.Conn.Write(c.header)
	c.header = c.header[:0]
	return max(0, n-yamuxHeaderBytes), err
}

// writeApart writes the header and a long body without a copy.
func (c *frameConn) writeApart(body []byte) (int, error) {
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
