package statemachine

import "slices"

// markKeptMS is the time for which the mark of a writer that is no member is
// kept, in milliseconds of the members' clocks.
const markKeptMS = 60 * 60 * 1000

// prune forgets the writers that are no members and have not written for
// markKeptMS, measured from the median of the members' latest batches, so
// that one member's wrong clock does not decide. What a forgotten writer
// appended comes too late for good: see isForgotten.
func (s *State) prune() {
	now := s.membersTime()
	for writer, mark := range s.Writers.All() {
		if _, member := s.Entries.Get(writer); member || mark.AtMS > now-markKeptMS {
			continue
		}
		s.Writers = s.Writers.Delete(writer)
		s.PrunedThroughMS = max(s.PrunedThroughMS, mark.AtMS)
	}
}

// membersTime returns the median time of the members' latest batches.
func (s *State) membersTime() int64 {
	var times []int64
	for incarnation := range s.Entries.All() {
		if mark, ok := s.Writers.Get(incarnation); ok {
			times = append(times, mark.AtMS)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// isForgotten reports whether a batch of a writer without a mark can be a late
// copy of one whose writer was forgotten.
func (s *State) isForgotten(batch Batch) bool {
	_, marked := s.Writers.Get(batch.Writer)
	return !marked && s.PrunedThroughMS > 0 && batch.AtMS <= s.PrunedThroughMS
}
