package dispatch

// precedence orders the kinds of outcome. A request's outcome only ever rises: from
// not run, over failed and unknown, to answered.
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

// Join returns the kind of outcome of a request with two starts that ended as
// a and b. It is commutative and associative, and it is NotRun only if both
// are.
func (k OutcomeKind) Join(other OutcomeKind) OutcomeKind {
	if other.precedence() > k.precedence() {
		return other
	}
	return k
}

// join folds the outcome of a later start into that of the earlier ones. The
// zero Outcome stands for no start.
func (o Outcome) join(later Outcome) Outcome {
	if o.Kind.Join(later.Kind) == later.Kind {
		return later
	}
	return o
}
