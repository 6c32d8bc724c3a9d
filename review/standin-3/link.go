package main

import (
	"net"
	"sync"
	"time"
)

// link forwards the channels of one machine to the store at the rate of the machine's own link, in
// either direction.
type link struct {
	to       string
	listener net.Listener
	up, down *shaper
}

// newLink returns a link of the rate, in bytes a second.
func newLink(to string, rate float64) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &link{to: to, listener: l, up: &shaper{rate: rate}, down: &shaper{rate: rate}}
	go out.serve()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.up.copy(far, near)
		go l.down.copy(near, far)
	}
}

// shaper lets bytes pass at a rate.
type shaper struct {
	rate float64
	mu   sync.Mutex
	// free is when the bytes that have been let through so far are over.
	free time.Time
}

// copy copies until one side ends, and closes both.
func (s *shaper) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(s.wait(n))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns how long the bytes have to wait.
func (s *shaper) wait(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return s.free.Sub(now)
}
