package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

const maxMessageBytes = 8 << 20

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other entries by their peer address.
type Client struct {
	dial     DialFunc
	mu       sync.Mutex
	sessions map[string]*yamux.Session
}

// NewClient returns a client without sessions.
func NewClient(dial DialFunc) *Client {
	return &Client{dial: dial, sessions: make(map[string]*yamux.Session)}
}

// Call sends the request to the entry at the address and returns its answer.
// After an error the request may have been handled.
func (c *Client) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		c.drop(address, session)
		return nil, errors.Wrap(err, "open stream")
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	resp, err := exchange(stream, req)
	if err != nil {
		c.drop(address, session)
	}
	return resp, err
}

func exchange(stream io.ReadWriter, req *peerpb.Request) (*peerpb.Response, error) {
	if _, err := protodelim.MarshalTo(stream, req); err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	resp := &peerpb.Response{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := opts.UnmarshalFrom(bufio.NewReader(stream), resp); err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return resp, nil
}

// session returns the open session to the address, or makes one.
func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	session := c.sessions[address]
	c.mu.Unlock()
	if session != nil && !session.IsClosed() {
		return session, nil
	}
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	session, err = yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open session")
	}
	return c.keep(address, session), nil
}

// keep stores the session unless another call has stored one meanwhile.
func (c *Client) keep(address string, session *yamux.Session) *yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.sessions[address]; current != nil && !current.IsClosed() {
		_ = session.Close()
		return current
	}
	c.sessions[address] = session
	return session
}

// drop closes a session that failed, so that the next call makes a new one.
func (c *Client) drop(address string, session *yamux.Session) {
	c.mu.Lock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
	c.mu.Unlock()
	_ = session.Close()
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
