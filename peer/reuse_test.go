package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// gatedEcho echoes heartbeats, those of the incarnation "late" after the gate.
type gatedEcho struct {
	echo
	gate chan struct{}
}

func (g gatedEcho) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if req.GetHeartbeat().GetIncarnation() == "late" {
		<-g.gate
	}
	return g.echo.HandlePeer(ctx, req)
}

// TestCall_ReusesStream checks that consecutive calls open one stream.
func TestCall_ReusesStream(t *testing.T) {
	_, address := startServer(t, "127.0.0.1:0")
	client := newTestClient(t)
	for range 20 {
		_, err := client.Call(context.Background(), address, heartbeat("a"))
		require.NoError(t, err)
	}
	require.Equal(t, 1, client.sessions[address].NumStreams())
	require.Len(t, client.sessions[address].idle, 1)
}

// TestCall_LateAnswerNotReturnedToNextCall checks that the response to a call
// that timed out is never returned to a later call.
func TestCall_LateAnswerNotReturnedToNextCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := gatedEcho{gate: make(chan struct{})}
	server := NewServer(listener, handler, hclog.NewNullLogger())
	go server.Serve()
	t.Cleanup(server.Close)
	client := newTestClient(t)
	address := listener.Addr().String()
	_, err = client.Call(context.Background(), address, heartbeat("a"))
	require.NoError(t, err)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Call(ctx, address, heartbeat("late"))
	require.Error(t, err)
	close(handler.gate)
	for _, name := range []string{"b", "c"} {
		resp, err := client.Call(context.Background(), address, heartbeat(name))
		require.NoError(t, err)
		require.Equal(t, name, resp.GetHeartbeat().GetIncarnation())
	}
}
