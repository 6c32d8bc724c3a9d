package job

import "github.com/cespare/xxhash/v2"

// electorate is the entries that are known to run, the own one included.
type electorate struct {
	members map[string]struct{}
}

func newElectorate(self string, others []string) electorate {
	e := electorate{members: map[string]struct{}{self: {}}}
	for _, other := range others {
		e.members[other] = struct{}{}
	}
	return e
}

func (e electorate) has(incarnation string) bool {
	_, ok := e.members[incarnation]
	return ok
}

// successor returns the entry that takes the job over, by rendezvous hashing.
// It spares the others the work; two successors at once do no harm.
func (e electorate) successor(id string) string {
	var best string
	var bestWeight uint64
	for member := range e.members {
		weight := xxhash.Sum64String(id + "/" + member)
		if best == "" || weight > bestWeight || (weight == bestWeight && member < best) {
			best, bestWeight = member, weight
		}
	}
	return best
}
