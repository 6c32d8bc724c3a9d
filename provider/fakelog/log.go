package fakelog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
)

// Log is an in-memory log. It is safe for concurrent use.
type Log struct {
	clock clockwork.Clock

	mu          sync.Mutex
	faults      Faults
	streams     map[string]*stream
	heldAppends []func()
	appends     int
}

// New returns an empty log whose waits follow the clock.
func New(clock clockwork.Clock) *Log {
	return &Log{clock: clock, streams: make(map[string]*stream)}
}

// ForClient returns the log as used by the named client, for
// Faults.Disconnected.
func (l *Log) ForClient(client string) provider.Log {
	return &clientLog{log: l, client: client}
}

// SetFaults changes the injected faults.
func (l *Log) SetFaults(change func(*Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// ReleaseAppends writes the appends that Faults.HoldAppends delayed.
func (l *Log) ReleaseAppends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, write := range l.heldAppends {
		write()
	}
	l.heldAppends = nil
}

// Trim drops the payloads before the offset.
func (l *Log) Trim(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	drop := min(max(before, s.oldest)-s.oldest, uint64(len(s.payloads)))
	s.payloads = s.payloads[drop:]
	s.oldest += drop
}

// Recreate recreates the stream: empty, with another identity.
func (l *Log) Recreate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.stream(name)
	l.streams[name] = newStream(name, old.incarnation+1)
	old.notifyReaders()
}

// Truncate drops the payloads from the offset on, which a correct log never
// does.
func (l *Log) Truncate(name string, from uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.payloads = s.payloads[:from-s.oldest]
	s.notifyReaders()
}

// Payloads returns the retained payloads of the stream.
func (l *Log) Payloads(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.stream(name).payloads)
}

// AppendCount returns the number of appends that were written.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements provider.Log.
func (l *Log) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	return l.append(ctx, "", stream, payloads)
}

// Read implements provider.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	return l.read(ctx, "", stream, from, limit, wait)
}

func (l *Log) append(ctx context.Context, client, name string, payloads [][]byte) (uint64, error) {
	const op = "log.append"
	if err := l.applyCallFaults(ctx, op, client); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	write := func() uint64 {
		l.appends++
		return l.stream(name).append(payloads)
	}
	switch {
	case consume(&l.faults.RateLimitAppends):
		return 0, failure(op, provider.Refused, provider.CodeRateLimited)
	case consume(&l.faults.DropAppends):
		return 0, failure(op, provider.Unknown, provider.CodeTimeout)
	case consume(&l.faults.HoldAppends):
		l.heldAppends = append(l.heldAppends, func() { write() })
		return 0, failure(op, provider.Unknown, provider.CodeTimeout)
	case consume(&l.faults.DropReplies):
		write()
		return 0, failure(op, provider.Unknown, provider.CodeTimeout)
	default:
		return write(), nil
	}
}

func (l *Log) read(ctx context.Context, client, name string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	const op = "log.read"
	if err := l.applyCallFaults(ctx, op, client); err != nil {
		return provider.Page{}, err
	}
	var deadline <-chan time.Time
	for {
		page, changed, ok := l.page(name, from, limit)
		if !ok {
			return provider.Page{}, failure(op, provider.Refused, provider.CodeTrimmed)
		}
		if len(page.Payloads) > 0 || wait <= 0 || from > page.NextOffset {
			return page, l.checkAvailable(op, client)
		}
		if deadline == nil {
			deadline = l.clock.After(wait)
		}
		select {
		case <-changed:
		case <-deadline:
			return page, l.checkAvailable(op, client)
		case <-ctx.Done():
			return provider.Page{}, failure(op, provider.Unknown, provider.CodeTimeout)
		}
	}
}

func (l *Log) page(name string, from uint64, limit int) (provider.Page, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page, ok := s.page(from, limit)
	return page, s.changed, ok
}

// stream returns the stream of the name. The caller holds the mutex.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = newStream(name, 0)
		l.streams[name] = s
	}
	return s
}

// applyCallFaults applies the faults that concern every call.
func (l *Log) applyCallFaults(ctx context.Context, op, client string) error {
	l.mu.Lock()
	slow := l.faults.Delay
	l.mu.Unlock()
	if slow > 0 {
		select {
		case <-l.clock.After(slow):
		case <-ctx.Done():
			return failure(op, provider.Unknown, provider.CodeTimeout)
		}
	}
	return l.checkAvailable(op, client)
}

// checkAvailable returns the error of a client that cannot reach the log.
func (l *Log) checkAvailable(op, client string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Unavailable || slices.Contains(l.faults.Disconnected, client) {
		return failure(op, provider.Refused, provider.CodeUnavailable)
	}
	return nil
}

func failure(op string, outcome provider.Outcome, code provider.Code) error {
	return &provider.Error{Op: op, Outcome: outcome, Code: code, Message: "injected fault"}
}
