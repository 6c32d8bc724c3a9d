package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/elapsed"
)

const (
	// RemoveAfter is the time since its latest answer after which a member
	// may be removed, of which ReachableFor has passed when it first counts as
	// unreachable.
	RemoveAfter = 5 * time.Second
	// maxRoundGap is the time between two rounds beyond which this process was
	// paused itself, so that its own silence proves nothing about others.
	maxRoundGap = time.Second
)

// Round is what one entry sees of the others at one time.
type Round struct {
	At time.Time
	// Members are the other members of the control state.
	Members []string
	// ReachableSets holds the members that answered lately, each with the hashes of
	// the incarnations that it reaches.
	ReachableSets map[string][]uint32
}

// FailureDetector finds members that are unreachable for RemoveAfter by this entry
// and by more than half of the members that it reaches. It reads no clock. A
// wrong verdict costs the member a restart, never a promise.
type FailureDetector struct {
	last    time.Time
	missing map[string]time.Time
}

// NewFailureDetector returns a detector that has seen no round.
func NewFailureDetector() *FailureDetector {
	return &FailureDetector{missing: make(map[string]time.Time)}
}

// Observe takes a round into account and returns the unreachable members.
func (d *FailureDetector) Observe(r Round) []string {
	if elapsed.Max(r.At, d.last) > maxRoundGap {
		clear(d.missing)
	}
	d.last = r.At
	d.forget(r.Members)
	var out []string
	for _, member := range r.Members {
		if _, ok := r.ReachableSets[member]; ok {
			delete(d.missing, member)
			continue
		}
		since, ok := d.missing[member]
		if !ok {
			d.missing[member] = r.At
			continue
		}
		if elapsed.Min(r.At, since) >= RemoveAfter-ReachabilityTimeout && r.confirms(member) {
			out = append(out, member)
		}
	}
	return out
}

// forget drops what is known of entries that are no members any more.
func (d *FailureDetector) forget(members []string) {
	for member := range d.missing {
		if !slices.Contains(members, member) {
			delete(d.missing, member)
		}
	}
}

// confirms reports whether more than half of the reached members do not reach
// the member either.
func (r Round) confirms(member string) bool {
	hash := HashIncarnation(member)
	without := 0
	for _, reaches := range r.ReachableSets {
		if !slices.Contains(reaches, hash) {
			without++
		}
	}
	return 2*without > len(r.ReachableSets) || len(r.ReachableSets) == 0
}

// HashIncarnation returns the hash by which heartbeats name an incarnation.
func HashIncarnation(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}
