package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// RecordKind distinguishes entries' records from the leader's.
type RecordKind int

// Kinds of records.
const (
	// RecordOther is one of the leader's.
	RecordOther RecordKind = iota
	RecordSubmission
	RecordCancellation
)

// JobOf returns the job of an entry's record.
func JobOf(r fleet.Record) (job string, kind RecordKind) {
	if r.Key == "" || len(r.Value) == 0 {
		return "", RecordOther
	}
	switch r.Key[0] {
	case kindSubmission:
		return r.Key[1:], RecordSubmission
	case kindCancellation:
		return r.Key[1:], RecordCancellation
	}
	return "", RecordOther
}

// WrittenByLeader reports whether only leaders write such a record.
func WrittenByLeader(r fleet.Record) bool {
	return r.Key != "" && (r.Key[0] == kindAssignment || r.Key[0] == kindSchedule || r.Key[0] == kindResult || r.Key[0] == kindLeader || r.Key[0] == kindVMOrder)
}

// NoopRecord returns a record without effect: it creates a stream.
func NoopRecord() fleet.Record {
	return fleet.Record{Key: string(rune(kindNoop)), Value: []byte{1}}
}
