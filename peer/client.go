package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other entries by their peer address.
type Client struct {
	dial     DialFunc
	mu       sync.Mutex
	sessions map[string]*session
}

// NewClient returns a client without sessions.
func NewClient(dial DialFunc) *Client {
	return &Client{dial: dial, sessions: make(map[string]*session)}
}

// Call sends the request to the entry at the address and returns its response.
// After an error the request may have been handled.
func (c *Client) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.acquire()
	if err != nil {
		c.dropSession(address, session)
		return nil, errors.Wrap(err, "open stream")
	}
	resp, err := stream.exchange(ctx, req)
	if err != nil {
		// A late response must not be read by the next call.
		_ = stream.Close()
		c.dropSession(address, session)
		return nil, err
	}
	session.release(stream)
	return resp, nil
}

// exchange sends one request and reads its response. A context without a
// deadline sets none on the stream.
func (s *stream) exchange(ctx context.Context, req *peerpb.Request) (*peerpb.Response, error) {
	deadline, _ := ctx.Deadline()
	_ = s.SetDeadline(deadline)
	if err := writeMessage(s, req); err != nil {
		return nil, err
	}
	resp := &peerpb.Response{}
	return resp, readMessage(s.reader, resp)
}

// session returns the open session to the address, or opens one.
func (c *Client) session(ctx context.Context, address string) (*session, error) {
	c.mu.Lock()
	current := c.sessions[address]
	c.mu.Unlock()
	if current != nil && !current.IsClosed() {
		return current, nil
	}
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	opened, err := yamux.Client(&frameConn{Conn: conn}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open session")
	}
	return c.storeSession(address, &session{Session: opened}), nil
}

// storeSession stores the session unless another call has stored one meanwhile.
func (c *Client) storeSession(address string, opened *session) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.sessions[address]; current != nil && !current.IsClosed() {
		_ = opened.Close()
		return current
	}
	c.sessions[address] = opened
	return opened
}

// dropSession closes a failed session, so that the next call opens a new one.
func (c *Client) dropSession(address string, failed *session) {
	c.mu.Lock()
	if c.sessions[address] == failed {
		delete(c.sessions, address)
	}
	c.mu.Unlock()
	_ = failed.Close()
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, session := range c.sessions {
		_ = session.Close()
		delete(c.sessions, address)
	}
}
