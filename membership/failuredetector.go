package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

const (
	// RemoveAfter is the time since its latest response after which a member may
	// be removed. ReachabilityTimeout of it has passed when the member first
	// counts as unreachable.
	RemoveAfter = 5 * time.Second
	// maxRoundGap is the time between two rounds beyond which this process was
	// paused itself, so that missing responses prove nothing about others.
	maxRoundGap = time.Second
)

// Round is one entry's observation of the others at one time.
type Round struct {
	At time.Time
	// Members are the other members of the control state.
	Members []string
	// ReachableSets maps each reachable member to the hashes of the
	// incarnations that it reaches.
	ReachableSets map[string][]uint32
}

// FailureDetector finds members that are unreachable for RemoveAfter by this
// entry and by more than half of the members that it reaches. It reads no
// clock. A false positive restarts the member, but violates no guarantee.
type FailureDetector struct {
	lastRoundAt      time.Time
	unreachableSince map[string]time.Time
}

// NewFailureDetector returns a detector without observations.
func NewFailureDetector() *FailureDetector {
	return &FailureDetector{unreachableSince: make(map[string]time.Time)}
}

// Observe records a round and returns the unreachable members.
func (d *FailureDetector) Observe(r Round) []string {
	if elapsed.Max(r.At, d.lastRoundAt) > maxRoundGap {
		clear(d.unreachableSince)
	}
	d.lastRoundAt = r.At
	d.prune(r.Members)
	var out []string
	for _, member := range r.Members {
		if _, ok := r.ReachableSets[member]; ok {
			delete(d.unreachableSince, member)
			continue
		}
		since, ok := d.unreachableSince[member]
		if !ok {
			d.unreachableSince[member] = r.At
			continue
		}
		if elapsed.Min(r.At, since) >= RemoveAfter-ReachabilityTimeout && r.confirmsUnreachable(member) {
			out = append(out, member)
		}
	}
	return out
}

// prune drops the state of entries that are no longer members.
func (d *FailureDetector) prune(members []string) {
	for member := range d.unreachableSince {
		if !slices.Contains(members, member) {
			delete(d.unreachableSince, member)
		}
	}
}

// confirmsUnreachable reports whether more than half of the reachable members
// do not reach the member either.
func (r Round) confirmsUnreachable(member string) bool {
	hash := HashIncarnation(member)
	without := 0
	for _, reaches := range r.ReachableSets {
		if !slices.Contains(reaches, hash) {
			without++
		}
	}
	return 2*without > len(r.ReachableSets) || len(r.ReachableSets) == 0
}

// HashIncarnation returns the hash that identifies an incarnation in
// heartbeats.
func HashIncarnation(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}
