// Package peer carries protobuf messages between entries over yamux sessions.
// One session per peer is kept open, and each call has a stream of its own.
package peer
