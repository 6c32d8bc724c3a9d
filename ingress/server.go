package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// Server returns a server whose requests the gate counts. It has to serve on a listener of
// the gate.
func (g *Gate) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.handler(handler),
		ReadHeaderTimeout: g.limits.HeaderTimeout,
		IdleTimeout:       g.limits.IdleTimeout,
		MaxHeaderBytes:    g.limits.HeaderBytes,
		ConnState:         g.follow,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// follow follows the states of a connection.
func (g *Gate) follow(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.phase.Store(phaseServed)
	case http.StateIdle:
		g.releaseAll(c)
		c.unread.Store(false)
		c.begin(phaseIdle, time.Now())
	}
}

// handler releases what a request holds when it has been served.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if g.isGone(c) {
			// The request must not run, and an empty response would say that it had.
			panic(http.ErrAbortHandler)
		}
		if g.pressed() {
			w.Header().Set("Connection", "close")
		}
		c.readWhole = false
		defer func() {
			g.releaseAll(c)
			if r.ContentLength != 0 && !c.readWhole {
				c.leaveUnread(r)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// isGone reports whether the connection has been given up.
func (g *Gate) isGone(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.gone || c.displaced.Load()
}

// connOf returns the request's connection, or one that stands for it in the counts if the
// gate does not know it.
func (g *Gate) connOf(r *http.Request) *conn {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c
	}
	return &conn{gate: g}
}

// leaveUnread prepares the end of a request whose body has not been read whole. The server
// reads a part of the rest for a bounded time; the connection lingers where that is not all.
func (c *conn) leaveUnread(r *http.Request) {
	c.extendRead(time.Now().Add(unreadTimeout))
	c.unread.Store(true)
	if r.Header.Get("Expect") == "" {
		// The server waits by itself, without a read, for a body that it has left. One that is
		// not sent before the server asks for it is known to the server by its type.
		r.Body = http.NoBody
	}
}
