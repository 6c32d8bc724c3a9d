package ingress

import "time"

const (
	// unreadTimeout bounds how long a connection is read after its client has been refused
	// and is still sending. Closed with unread bytes, the connection would be reset, and the
	// client might never see why it was refused.
	unreadTimeout = 500 * time.Millisecond
	// lingerBytes bounds what is read meanwhile; a client that sends more is only waited for.
	lingerBytes = 256 << 10
	// lingerBuffer is the buffer for it, in bytes.
	lingerBuffer = 4 << 10
)

// linger ends the sending half of the connection and waits until the client has closed its
// own.
func (c *conn) linger() {
	deadline := time.Now().Add(unreadTimeout)
	if c.CloseWrite() != nil || c.SetReadDeadline(deadline) != nil {
		return
	}
	buffer := make([]byte, lingerBuffer)
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		read += n
		if err != nil {
			return
		}
	}
	time.Sleep(time.Until(deadline))
}
