package peer

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds one message.
const maxMessageBytes = 8 << 20

// writeMessage sends a message in one write, which yamux sends as one frame.
func writeMessage(w io.Writer, m proto.Message) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err := w.Write(buf.Bytes())
	return errors.Wrap(err, "send message")
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return errors.Wrap(opts.UnmarshalFrom(r, m), "read message")
}
