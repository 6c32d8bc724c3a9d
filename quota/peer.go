package quota

import (
	"context"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Peer is another entry that may lend.
type Peer struct {
	Incarnation string
	Address     string
	SameZone    bool
	// Spare is the part of its allotment of a team that it last said it would
	// lend.
	Spare int
}

// Peers tells what the other entries last said of themselves.
type Peers interface {
	// AppliedOffsets returns the next control offset of each reached entry.
	AppliedOffsets() map[string]uint64
	// Lenders returns the reached entries that would lend to the team.
	Lenders(team string) []Peer
}

// Caller sends a request to the entry at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
}
