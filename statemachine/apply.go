package statemachine

// Result is the outcome of one record at its place in the stream.
type Result struct {
	ID     ID
	Kind   Kind
	Offset uint64
	// Command is the record's body. It must not be changed.
	Command Command
	// Rejection is nil if the record took effect.
	Rejection *Rejection
}

// Apply reduces the batch at the offset and returns the new state and one
// result per record. An offset before s.Next has been applied already: the
// state stays as it is and there are no results.
func (s *State) Apply(offset uint64, batch Batch) (*State, []Result) {
	if offset < s.NextOffset {
		return s, nil
	}
	current := *s
	current.NextOffset = offset + 1
	results := make([]Result, 0, len(batch.Records))
	for _, record := range batch.Records {
		id := ID{Writer: batch.Writer, Seq: record.Seq}
		next, void := current.applyRecord(offset, batch, record)
		if void == nil {
			current = next
		}
		if !current.isForgotten(batch) {
			current.mark(id, batch.AtMS)
		}
		if void == nil && record.Command.Kind() == KindEntryJoin {
			current.prune()
		}
		results = append(results, Result{ID: id, Kind: record.Command.Kind(), Offset: offset, Command: record.Command, Rejection: void})
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

// applyRecord returns the state after the record, or why the record is void.
func (s *State) applyRecord(offset uint64, batch Batch, record Record) (State, *Rejection) {
	mark, _ := s.Writers.Get(batch.Writer)
	if record.Seq <= mark.Seq {
		return State{}, voidf(ReasonDuplicate, "record %d of %s is not above %d", record.Seq, batch.Writer, mark.Seq)
	}
	if s.isForgotten(batch) {
		return State{}, voidf(ReasonDuplicate, "the batch of %s is as old as those of writers that were forgotten", batch.Writer)
	}
	next := *s
	ctx := applyContext{writer: batch.Writer, offset: offset, atMS: batch.AtMS}
	if void := record.Command.apply(&next, ctx); void != nil {
		return State{}, void
	}
	return next, nil
}

// mark remembers that the writer has used the record number.
func (s *State) mark(id ID, atMS int64) {
	mark, _ := s.Writers.Get(id.Writer)
	if id.Seq <= mark.Seq {
		return
	}
	mark.Seq, mark.AtMS = id.Seq, atMS
	s.Writers = s.Writers.Set(id.Writer, mark)
}
