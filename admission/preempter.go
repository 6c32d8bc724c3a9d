package admission

import "context"

// Preempter makes long work give way to urgent work.
type Preempter interface {
	// Preempt asks long work of this entry on the pools to save its progress
	// and to free up to the given number of slots. It returns at once with the
	// number that it asked to be freed; they come free later, or not at all if
	// the work ends in another way.
	Preempt(ctx context.Context, pools []string, slots int) int
}
