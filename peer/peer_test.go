package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// echo responds to a heartbeat with itself and closes any other call.
type echo struct{}

func (echo) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	if req.GetHeartbeat() == nil {
		return nil
	}
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: req.GetHeartbeat()}}
}

func heartbeat(name string) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: &peerpb.Heartbeat{Incarnation: name}}}
}

func startServer(t testing.TB, address string) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := NewServer(listener, echo{}, hclog.NewNullLogger())
	go server.Serve()
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func newTestClient(t testing.TB) *Client {
	t.Helper()
	client := NewClient((&net.Dialer{}).DialContext)
	t.Cleanup(client.Close)
	return client
}

// TestCall_SurvivesRestart checks that a call fails while the peer is down and
// that a later one opens a new session.
func TestCall_SurvivesRestart(t *testing.T) {
	server, address := startServer(t, "127.0.0.1:0")
	client := newTestClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := client.Call(ctx, address, heartbeat("a"))
	require.NoError(t, err)
	require.Equal(t, "a", resp.GetHeartbeat().GetIncarnation())

	server.Close()
	_, err = client.Call(ctx, address, heartbeat("b"))
	require.Error(t, err)

	startServer(t, address)
	require.Eventually(t, func() bool {
		resp, err := client.Call(ctx, address, heartbeat("c"))
		return err == nil && resp.GetHeartbeat().GetIncarnation() == "c"
	}, 10*time.Second, 10*time.Millisecond)
}

// TestCall_UnknownType checks that a call that no route handles fails instead of
// blocking.
func TestCall_UnknownType(t *testing.T) {
	_, address := startServer(t, "127.0.0.1:0")
	_, err := newTestClient(t).Call(context.Background(), address, &peerpb.Request{})
	require.Error(t, err)
}

// FuzzRequest checks that no bytes from a peer crash the decoding of a message.
func FuzzRequest(f *testing.F) {
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, heartbeat("seed"))
	require.NoError(f, err)
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		req := &peerpb.Request{}
		opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
		if opts.UnmarshalFrom(bytes.NewReader(raw), req) != nil {
			return
		}
		echo{}.HandlePeer(context.Background(), req)
	})
}
