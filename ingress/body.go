package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBuffer is the first buffer of a body of unknown length, in bytes.
	firstBuffer = 4 << 10
	// minRate is the rate, in bytes a second, below which a body is not read to its end
	// even while there is room: a hundredth of the slowest link that clients have.
	minRate = 2 << 10
	// retryAfter is when a client may return that found no room: crowds that stand still
	// have been displaced by then.
	retryAfter = time.Second
)

// Refusal says why a body has not been read. The request has had no effect.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is when the client may return; 0 if that is of no use.
	RetryAfter time.Duration
	Message    string
}

// SetHeaders sets the headers of the refusal. The connection ends with it: the rest of the
// body is not read.
func (f *Refusal) SetHeaders(h http.Header) {
	h.Set("Connection", "close")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(f.RetryAfter.Seconds())))
	}
}

// bodyReader reads one body, each byte counted before there is a buffer for it.
type bodyReader struct {
	gate  *Gate
	conn  *conn
	limit int64
	buf   []byte
}

// ReadBody reads the whole body of a request, at most limit bytes. What it takes is held
// until the request's handler returns.
func (g *Gate) ReadBody(r *http.Request, limit int64) ([]byte, *Refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	now := time.Now()
	if r.ContentLength > limit {
		return nil, g.refuse(errTooLarge, now)
	}
	b := &bodyReader{gate: g, conn: g.connOf(r), limit: limit}
	b.conn.begin(phaseBody, now)
	g.watch()
	err := b.read(r)
	if err == nil {
		err = g.markWhole(b.conn)
	}
	if err != nil {
		b.buf = nil
		b.conn.phase.Store(phaseServed)
		g.releaseAll(b.conn)
		if b.conn.displaced.Load() {
			err = errDisplaced
		}
		return nil, g.refuse(err, time.Now())
	}
	b.conn.readWhole = true
	if b.conn.Conn == nil {
		// No handler of the gate releases it later.
		g.releaseAll(b.conn)
	}
	return b.buf, nil
}

func (b *bodyReader) read(r *http.Request) error {
	size := r.ContentLength
	if size < 0 {
		size = min(firstBuffer, b.limit+1)
	}
	if err := b.grow(size); err != nil {
		return err
	}
	for {
		if len(b.buf) == cap(b.buf) {
			if int64(len(b.buf)) > b.limit {
				return errTooLarge
			}
			// Only a body of unknown length fills its buffer before its end.
			if err := b.grow(min(2*int64(cap(b.buf)), b.limit+1)); err != nil {
				return err
			}
		}
		n, err := r.Body.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if err == io.EOF {
			return b.checkEnd()
		}
		if err != nil {
			return err
		}
		if int64(len(b.buf)) == r.ContentLength {
			return nil
		}
	}
}

func (b *bodyReader) checkEnd() error {
	if int64(len(b.buf)) > b.limit {
		return errTooLarge
	}
	return nil
}

// grow replaces the buffer by a larger one; both count while both exist.
func (b *bodyReader) grow(size int64) error {
	if err := b.gate.hold(b.conn, size, holdPatience); err != nil {
		return err
	}
	old := int64(cap(b.buf))
	larger := make([]byte, len(b.buf), size)
	copy(larger, b.buf)
	b.buf = larger
	if old > 0 {
		b.gate.release(b.conn, old)
	}
	return nil
}

var (
	errTooLarge = errors.New("the body is larger than allowed")
	errStalled  = errors.New("the body has stood still")
)

// refuse counts the reason and returns the refusal for it.
func (g *Gate) refuse(err error, now time.Time) *Refusal {
	switch {
	case errors.Is(err, errTooLarge):
		g.counters.count(reasonTooLarge, now)
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Message: err.Error()}
	case errors.Is(err, errNoRoom), errors.Is(err, errDisplaced):
		g.counters.count(reasonFull, now)
		return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Message: err.Error()}
	case errors.Is(err, errStalled), isTimeout(err):
		g.counters.count(reasonStalled, now)
		return &Refusal{Status: http.StatusRequestTimeout, Message: "the body has not come in time"}
	default:
		g.counters.count(reasonIncomplete, now)
		return &Refusal{Status: http.StatusBadRequest, Message: "cannot read the request body: " + err.Error()}
	}
}
