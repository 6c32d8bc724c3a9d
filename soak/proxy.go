package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is how a proxy treats its connections.
type ProxyMode int

const (
	// ModePass forwards everything.
	ModePass ProxyMode = iota
	// ModeDelay delays each chunk.
	ModeDelay
	// ModeReset closes existing and new connections.
	ModeReset
	// ModeBlackhole drops all data and keeps connections open.
	ModeBlackhole
	// ModeDropReplies forwards requests and drops responses.
	ModeDropReplies
)

// chunkDelay is the delay of each chunk in ModeDelay.
const chunkDelay = 120 * time.Millisecond

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	mode     ProxyMode
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy to the address.
func NewProxy(upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == ModeReset {
		p.closeAll()
	}
}

// Close stops the proxy.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == ModeReset {
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.upstream)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copyOneWay(in, out, false)
		go p.copyOneWay(out, in, true)
	}
}

// copyOneWay copies one direction in chunks, according to the current mode.
func (p *Proxy) copyOneWay(from, to net.Conn, fromUpstream bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.currentMode(); {
			case m == ModeBlackhole, m == ModeDropReplies && fromUpstream:
				// Once data is dropped, the connection stays broken, as after a lost route.
				_, _ = io.Copy(io.Discard, from)
				return
			case m == ModeDelay:
				time.Sleep(chunkDelay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
