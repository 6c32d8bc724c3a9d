package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/bothclocks"
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
	// Reached holds the members that answered lately, each with the hashes of
	// the incarnations that it reaches.
	Reached map[string][]uint32
}

// Detector finds members that are unreachable for RemoveAfter by this entry
// and by more than half of the members that it reaches. It reads no clock. A
// wrong verdict costs the member a restart, never a promise.
type Detector struct {
	last    time.Time
	missing map[string]time.Time
}

// NewDetector returns a detector that has seen no round.
func NewDetector() *Detector {
	return &Detector{missing: make(map[string]time.Time)}
}

// Observe takes a round into account and returns the unreachable members.
func (d *Detector) Observe(r Round) []string {
	if bothclocks.Most(r.At, d.last) > maxRoundGap {
		clear(d.missing)
	}
	d.last = r.At
	d.forget(r.Members)
	var out []string
	for _, member := range r.Members {
		if _, ok := r.Reached[member]; ok {
			delete(d.missing, member)
			continue
		}
		since, ok := d.missing[member]
		if !ok {
			d.missing[member] = r.At
			continue
		}
		if bothclocks.Least(r.At, since) >= RemoveAfter-ReachableFor && r.confirms(member) {
			out = append(out, member)
		}
	}
	return out
}

// forget drops what is known of entries that are no members any more.
func (d *Detector) forget(members []string) {
	for member := range d.missing {
		if !slices.Contains(members, member) {
			delete(d.missing, member)
		}
	}
}

// confirms reports whether more than half of the reached members do not reach
// the member either.
func (r Round) confirms(member string) bool {
	hash := HashOf(member)
	without := 0
	for _, reaches := range r.Reached {
		if !slices.Contains(reaches, hash) {
			without++
		}
	}
	return 2*without > len(r.Reached) || len(r.Reached) == 0
}

// HashOf returns the hash by which heartbeats name an incarnation.
func HashOf(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}
