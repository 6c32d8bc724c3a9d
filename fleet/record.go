package fleet

// Record is one record of a stream whose newest record of each key is kept.
type Record struct {
	Key string
	// Value is empty where the key was dropped.
	Value  []byte
	Offset int64
}

// Records is what one read of a stream returned.
type Records struct {
	Items []Record
	// Next is the offset from which to read on.
	Next int64
	// End is the offset behind the stream's last record at the time of the read.
	End int64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	// Conditional appends succeed only while the stream ends at IfEnd.
	Conditional bool
	ExpectedEnd int64
	// Writer names a fenced writer; empty for none. A lower Token than one that
	// the stream has seen is refused, and Sequence must follow the last one.
	Writer       string
	FencingToken int64
	Sequence     int64
}
