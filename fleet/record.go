package fleet

// Record is one record of a stream that is compacted by key.
type Record struct {
	Key string
	// Value is empty in a tombstone.
	Value  []byte
	Offset int64
}

// Records is the result of one read of a stream.
type Records struct {
	Items []Record
	// Next is the offset of the next read.
	Next int64
	// End is the offset after the stream's last record at the time of the read.
	End int64
}

// AppendOptions are the preconditions of an append.
type AppendOptions struct {
	// Conditional appends succeed only while the stream ends at ExpectedEnd.
	Conditional bool
	ExpectedEnd int64
	// Writer names a fenced writer; empty for none. The store rejects a
	// FencingToken below the highest of the stream; Sequence must be the next.
	Writer       string
	FencingToken int64
	Sequence     int64
}
