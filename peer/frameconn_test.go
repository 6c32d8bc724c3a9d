package peer

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingConn records the data of each write.
type recordingConn struct {
	net.Conn
	sent [][]byte
}

func (w *recordingConn) Write(p []byte) (int, error) {
	w.sent = append(w.sent, bytes.Clone(p))
	return len(p), nil
}

// TestFrameConn_LongBody checks that a long body is written separately.
func TestFrameConn_LongBody(t *testing.T) {
	conn := &recordingConn{}
	frames := &frameConn{Conn: conn}
	header := []byte("\x00\x00\x00\x00\x00\x00\x00\x01\x00\x01\x00\x00")
	body := bytes.Repeat([]byte{7}, 1<<16)
	for _, part := range [][]byte{header, body, header, body} {
		n, err := frames.Write(part)
		require.NoError(t, err)
		require.Equal(t, len(part), n)
	}
	require.Equal(t, [][]byte{header, body, header, body}, conn.sent)
}

// TestFrameConn checks that each frame is one write, whatever its body contains.
func TestFrameConn(t *testing.T) {
	data := "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x0c"
	window := "\x00\x01\x00\x00\x00\x00\x00\x01\x00\x00\x00\x0c"
	closing := "\x00\x00\x00\x04\x00\x00\x00\x01\x00\x00\x00\x00"
	cases := []struct {
		name   string
		frames [][]string
	}{
		{"a header without body", [][]string{{window}, {closing}}},
		{"a header with its body", [][]string{{data, "twelve bytes"}, {window}}},
		{"a body that looks like a header", [][]string{{data, data}, {data, closing}, {closing}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := &recordingConn{}
			frames := &frameConn{Conn: conn}
			for i, frame := range c.frames {
				for _, part := range frame {
					n, err := frames.Write([]byte(part))
					require.NoError(t, err)
					require.Equal(t, len(part), n)
				}
				require.Len(t, conn.sent, i+1)
				require.Equal(t, strings.Join(frame, ""), string(conn.sent[i]))
			}
		})
	}
}
