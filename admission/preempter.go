package admission

import "context"

// Preempter frees slots of jobs for urgent work.
type Preempter interface {
	// Preempt requests jobs of this entry on the pools to checkpoint and to
	// free up to the given number of slots. It returns immediately with the
	// number of slots requested; they become free later, or not at all if the
	// job ends in another way.
	Preempt(ctx context.Context, pools []string, slots int) int
}
