package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does to the connections through it.
type ProxyMode int

// Modes of a proxy.
const (
	// ModePass passes everything on.
	ModePass ProxyMode = iota
	// ModeDelay holds each piece up.
	ModeDelay
	// ModeReset closes connections, old and new.
	ModeReset
	// ModeBlackhole passes nothing on and closes nothing.
	ModeBlackhole
	// ModeDropReplies passes on what goes out and drops what comes back.
	ModeDropReplies
)

// delay is how long ModeDelay holds a piece up.
const delay = 120 * time.Millisecond

// Proxy passes connections on to one address.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     ProxyMode
	open     map[net.Conn]bool
}

// NewProxy starts a proxy to the target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == ModeReset {
		p.closeAll()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for c := range p.open {
		c.Close()
	}
	clear(p.open)
}

func (p *Proxy) current() ProxyMode {
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
		if p.current() == ModeReset {
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.open[in], p.open[out] = true, true
		p.mu.Unlock()
		go p.pass(in, out, false)
		go p.pass(out, in, true)
	}
}

// pass copies one direction piece by piece, as the mode of the moment says.
func (p *Proxy) pass(from, to net.Conn, back bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.current(); {
			case m == ModeBlackhole, m == ModeDropReplies && back:
				// What is dropped breaks the connection for good, as a lost path does.
				_, _ = io.Copy(io.Discard, from)
				return
			case m == ModeDelay:
				time.Sleep(delay)
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
