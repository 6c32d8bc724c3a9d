package statemachine

import "slices"

// positionRetentionMS is the time for which the mark of a writer that is no member is
// kept, in milliseconds of the members' clocks.
const positionRetentionMS = 60 * 60 * 1000

// pruneWriters forgets the writers that are no members and have not written for
// markKeptMS, measured from the median of the members' latest batches, so
// that one member's wrong clock does not decide. What a forgotten writer
// appended comes too late for good: see isForgotten.
func (s *State) pruneWriters() {
	now := s.medianMemberTime()
	for writer, position := range s.Writers.All() {
		if _, member := s.Entries.Get(writer); member || position.AtMS > now-positionRetentionMS {
			continue
		}
		s.Writers = s.Writers.Delete(writer)
		s.PrunedThroughMS = max(s.PrunedThroughMS, position.AtMS)
	}
}

// medianMemberTime returns the median time of the members' latest batches.
func (s *State) medianMemberTime() int64 {
	var times []int64
	for incarnation := range s.Entries.All() {
		if position, ok := s.Writers.Get(incarnation); ok {
			times = append(times, position.AtMS)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// isFromPrunedWriter reports whether a batch of a writer without a mark can be a late
// copy of one whose writer was forgotten.
func (s *State) isFromPrunedWriter(batch Batch) bool {
	_, hasPosition := s.Writers.Get(batch.Writer)
	return !hasPosition && s.PrunedThroughMS > 0 && batch.AtMS <= s.PrunedThroughMS
}
