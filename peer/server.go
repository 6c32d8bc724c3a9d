package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

const callTimeout = 10 * time.Second

// Handler handles the calls of other entries.
type Handler interface {
	// HandlePeer handles one request. A nil response closes the stream.
	HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response
}

// Server accepts the sessions of other entries.
type Server struct {
	listener net.Listener
	handler  Handler
	logger   hclog.Logger

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// NewServer returns a server on the listener. Serve starts it.
func NewServer(listener net.Listener, handler Handler, logger hclog.Logger) *Server {
	return &Server{listener: listener, handler: handler, logger: logger, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts sessions until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(&frameConn{Conn: conn}, yamuxConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		if s.track(session) {
			go s.serveSession(session)
		}
	}
}

// track registers a session for Close. It returns false once the server is
// closed.
func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = session.Close()
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) serveSession(session *yamux.Session) {
	defer func() {
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
		_ = session.Close()
	}()
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(newStream(accepted))
	}
}

// serveStream handles the calls of a stream one after another. The timeout of
// a call starts with its first byte.
func (s *Server) serveStream(accepted *stream) {
	defer accepted.Close()
	for {
		_ = accepted.SetDeadline(time.Time{})
		if _, err := accepted.reader.Peek(1); err != nil {
			return
		}
		if !s.answer(accepted) {
			return
		}
	}
}

// answer handles one call and reports whether it was answered.
func (s *Server) answer(accepted *stream) bool {
	deadline := time.Now().Add(callTimeout)
	_ = accepted.SetDeadline(deadline)
	req := &peerpb.Request{}
	if err := readMessage(accepted.reader, req); err != nil {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	resp := s.handler.HandlePeer(ctx, req)
	if resp == nil {
		return false
	}
	if err := writeMessage(accepted, resp); err != nil {
		s.logger.Debug("failed to send the response to a peer", "error", err.Error())
		return false
	}
	return true
}

// Close stops accepting and closes all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for session := range s.sessions {
		_ = session.Close()
	}
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = 5 * time.Second
	cfg.ConnectionWriteTimeout = 2 * time.Second
	return cfg
}
