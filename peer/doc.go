// Package peer carries protobuf messages between entries over yamux sessions.
// One session per peer is kept open. A call has exclusive use of a stream, which
// later calls reuse once it is answered.
package peer
