package ledger

// Kinds of records, the first byte of a key.
const (
	kindSubmission   = 'j'
	kindCancellation = 'c'
	kindAssignment   = 't'
	kindResult       = 'r'
	kindOwner        = 'o'
	kindWave         = 'w'
)

// ownerKey is the key of the owner's record, of which there is one.
const ownerKey = "o"
