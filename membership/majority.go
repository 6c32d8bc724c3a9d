package membership

// Vote is what a reachable member of the control state last said.
type Vote struct {
	// Readable means that it can read the log.
	Readable bool
	// Applied is the offset that it applies next.
	Applied uint64
	// Leaving means that it counts in no majority any more.
	Leaving bool
}

// NothingNew reports whether more than half of the entries, the asking one
// included, are reachable and stay, and none of those reached can read the log
// or has applied more than next. Without the log nothing new can have been
// accepted then.
func NothingNew(next uint64, entries int, votes []Vote) bool {
	staying := 1
	for _, vote := range votes {
		if vote.Readable || vote.Applied > next {
			return false
		}
		if !vote.Leaving {
			staying++
		}
	}
	return 2*staying > entries
}
