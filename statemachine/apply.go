package statemachine

// Result is the outcome of one record at its place in the stream.
type Result struct {
	ID     ID
	Kind   Kind
	Offset uint64
	// Command is the record's body. It must not be modified.
	Command Command
	// Rejection is nil if the record took effect.
	Rejection *Rejection
}

// Apply reduces the batch at the offset and returns the new state and one
// result per record. A batch at an offset before s.NextOffset has already been
// applied: the state is returned unchanged, without results.
func (s *State) Apply(offset uint64, batch Batch) (*State, []Result) {
	if offset < s.NextOffset {
		return s, nil
	}
	current := *s
	current.NextOffset = offset + 1
	results := make([]Result, 0, len(batch.Records))
	for _, record := range batch.Records {
		id := ID{Writer: batch.Writer, Seq: record.Seq}
		next, rejection := current.applyRecord(offset, batch, record)
		if rejection == nil {
			current = next
		}
		if !current.isFromPrunedWriter(batch) {
			current.recordPosition(id, batch.AtMS)
		}
		if rejection == nil && record.Command.Kind() == KindEntryJoin {
			current.pruneWriters()
		}
		results = append(results, Result{ID: id, Kind: record.Command.Kind(), Offset: offset, Command: record.Command, Rejection: rejection})
	}
	return &current, results
}

// Skip advances past a payload that cannot be decoded.
func (s *State) Skip(offset uint64) *State {
	if offset < s.NextOffset {
		return s
	}
	next := *s
	next.NextOffset = offset + 1
	return &next
}

// applyRecord returns the state after the record, or why it is rejected.
func (s *State) applyRecord(offset uint64, batch Batch, record Record) (State, *Rejection) {
	position, _ := s.Writers.Get(batch.Writer)
	if record.Seq <= position.Seq {
		return State{}, rejectf(ReasonDuplicate, "record %d of %s is not above %d", record.Seq, batch.Writer, position.Seq)
	}
	if s.isFromPrunedWriter(batch) {
		return State{}, rejectf(ReasonDuplicate, "the batch of %s is not newer than those of pruned writers", batch.Writer)
	}
	next := *s
	ctx := applyContext{writer: batch.Writer, offset: offset, atMS: batch.AtMS}
	if rejection := record.Command.apply(&next, ctx); rejection != nil {
		return State{}, rejection
	}
	return next, nil
}

// recordPosition advances the writer's position to the record number.
func (s *State) recordPosition(id ID, atMS int64) {
	position, _ := s.Writers.Get(id.Writer)
	if id.Seq <= position.Seq {
		return
	}
	position.Seq, position.AtMS = id.Seq, atMS
	s.Writers = s.Writers.Set(id.Writer, position)
}
