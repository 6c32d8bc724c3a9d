package dispatch

// precedence orders the outcome kinds. A request's outcome only rises: from not
// run, through failed and unknown, to answered.
func (k OutcomeKind) precedence() int {
	switch k {
	case NotRun:
		return 0
	case Failed:
		return 1
	case Unknown:
		return 2
	case Answered:
		return 3
	default:
		return -1
	}
}

// Join returns the outcome kind of a request with two attempts of kinds k and
// other. It is commutative and associative, and is NotRun only if both are.
func (k OutcomeKind) Join(other OutcomeKind) OutcomeKind {
	if other.precedence() > k.precedence() {
		return other
	}
	return k
}

// join combines the outcome of a later attempt with that of the earlier ones.
// The zero Outcome stands for no attempt.
func (o Outcome) join(later Outcome) Outcome {
	if o.Kind.Join(later.Kind) == later.Kind {
		return later
	}
	return o
}
