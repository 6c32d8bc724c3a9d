package job

import "github.com/cespare/xxhash/v2"

// liveEntries is the set of entries that are known to run, including this one.
type liveEntries struct {
	incarnations map[string]struct{}
}

func newLiveEntries(self string, others []string) liveEntries {
	l := liveEntries{incarnations: map[string]struct{}{self: {}}}
	for _, other := range others {
		l.incarnations[other] = struct{}{}
	}
	return l
}

func (l liveEntries) contains(incarnation string) bool {
	_, ok := l.incarnations[incarnation]
	return ok
}

// successor returns the entry that takes the job over, by rendezvous hashing.
// This avoids redundant takeovers; two successors at once are harmless.
func (l liveEntries) successor(id string) string {
	var best string
	var bestWeight uint64
	for incarnation := range l.incarnations {
		weight := xxhash.Sum64String(id + "/" + incarnation)
		if best == "" || weight > bestWeight || (weight == bestWeight && incarnation < best) {
			best, bestWeight = incarnation, weight
		}
	}
	return best
}
