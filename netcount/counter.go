// Package netcount counts the bytes that pass through connections, so that an
// entry can report its control traffic.
package netcount

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of the connections that it wraps.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the number of bytes received.
func (c *Counter) In() int64 { return c.in.Load() }

// Out returns the number of bytes sent.
func (c *Counter) Out() int64 { return c.out.Load() }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections are counted.
func (c *Counter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
