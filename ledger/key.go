package ledger

// Kinds of records, the first byte of a key.
const (
	kindSubmission   = 'j'
	kindCancellation = 'c'
	kindAssignment   = 't'
	kindResult       = 'r'
	kindLeader       = 'o'
	kindWave         = 'w'
	kindVMOrder      = 'v'
	kindSchedule     = 's'
	kindNoop         = '-'
)
