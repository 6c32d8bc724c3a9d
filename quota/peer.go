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
	// Spare is the part of a team's allotment that it last advertised as
	// available for loans.
	Spare int
}

// Peers provides what the other entries last advertised.
type Peers interface {
	// AppliedOffsets returns the next control offset of each reachable entry.
	AppliedOffsets() map[string]uint64
	// Lenders returns the reachable entries that may lend to the team.
	Lenders(team string) []Peer
}

// Caller sends a request to the entry at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
}
