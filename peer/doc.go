// Package peer carries protobuf messages between entries over yamux sessions.
// One session per peer is kept open. A call has a stream to itself, which later
// calls use again once it is answered.
package peer
