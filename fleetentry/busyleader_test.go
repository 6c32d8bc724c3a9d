package fleetentry

import (
	"context"
	"expvar"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/platform"
)

// heldConn is a connection of a process that handles what it has read late, and its
// timers before that: a read whose deadline passes meanwhile fails, and the next one
// returns what had arrived.
type heldConn struct {
	net.Conn
	late     time.Duration
	deadline time.Time
	held     []byte
}

func (c *heldConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *heldConn) Read(b []byte) (int, error) {
	if len(c.held) > 0 {
		n := copy(b, c.held)
		c.held = c.held[n:]
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	time.Sleep(c.late)
	if !c.deadline.IsZero() && time.Now().After(c.deadline) {
		c.held = append(c.held, b[:n]...)
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// readsLate makes the leader read each response of a worker late.
func readsLate(late time.Duration) platform.WorkersOption {
	var d net.Dialer
	return platform.WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &heldConn{Conn: conn, late: late}, nil
	})
}

// TestBusyLeader_KeepsWorkersAndRuns guards against a leader that takes its own lateness
// for the silence of workers: it reads each response after the timeout of the call.
func TestBusyLeader_KeepsWorkersAndRuns(t *testing.T) {
	t.Parallel()
	const late = 600 * time.Millisecond
	require.Greater(t, late, defaultAttemptTimeouts[0])
	p := newTestPlatform(t, 1, readsLate(late))
	leader := p.leader()
	path := p.submit("desk", longRunningJob(3, 0))
	require.Eventually(t, func() bool { return p.fleet.Running(jobIDOf(path)) == 3 }, 10*time.Second, 20*time.Millisecond)
	require.Never(t, func() bool { return p.fleet.Running(jobIDOf(path)) < 3 }, 2*time.Second, 50*time.Millisecond, "runs were given up")
	for _, event := range []string{"worker.unreachable", "start.unsure", "task.requeued"} {
		require.Nil(t, leader.metrics.counters.Get("event_"+event), event)
	}
	require.Equal(t, int64(3), leader.metrics.counters.Get("starts").(*expvar.Int).Value())
	require.Nil(t, leader.metrics.counters.Get("looks_lost"), "polls were retried")
	require.Empty(t, p.fleet.Violations())
}

func TestLatenessState_HasHysteresis(t *testing.T) {
	var s latenessState
	require.False(t, s.update(lateFrom-1))
	require.True(t, s.update(lateFrom))
	require.False(t, s.update(onTimeBelow))
	require.True(t, s.update(onTimeBelow-1))
	require.False(t, s.late)
}

func TestLatePollDelay(t *testing.T) {
	require.Zero(t, latePollDelay(0))
	require.Equal(t, maxLatePollDelay, latePollDelay(time.Second))
}
