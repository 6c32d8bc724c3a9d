package statemachine

import "slices"

// positionRetentionMS is the time for which the position of a writer that is
// not a member is retained, in milliseconds of the members' clocks.
const positionRetentionMS = 60 * 60 * 1000

// pruneWriters deletes the positions of non-members that have not written for
// positionRetentionMS, measured from the median of the members' latest batches,
// so that one member's wrong clock does not decide. A batch of a pruned writer
// that arrives later is rejected: see isFromPrunedWriter.
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

// isFromPrunedWriter reports whether a batch of a writer without a position may
// be a late copy from a pruned writer.
func (s *State) isFromPrunedWriter(batch Batch) bool {
	_, hasPosition := s.Writers.Get(batch.Writer)
	return !hasPosition && s.PrunedThroughMS > 0 && batch.AtMS <= s.PrunedThroughMS
}
