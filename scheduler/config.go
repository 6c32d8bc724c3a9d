package scheduler

import "time"

// Config holds the bounds that the platform gives, and the owner's token.
type Config struct {
	// FencingToken is the owner's fencing token.
	FencingToken int64
	// LeaseDuration is how far each look extends the leases on a worker.
	LeaseDuration time.Duration
	// PreviousLeaderLease is the longest that a lease given by an earlier owner may run
	// from the moment this owner took over.
	PreviousLeaderLease time.Duration
	// PreviousLeaderOperationWindow is for how long after the takeover an order of the last owner on
	// a VM may count against a new one; 0 after one that stopped by itself.
	PreviousLeaderOperationWindow time.Duration
	// MaxStopTime is the longest that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaintenanceTime and MoveTime are how long a VM is away.
	MaintenanceTime time.Duration
	MoveTime        time.Duration
	// CheckpointInterval is the work between two checkpoints.
	CheckpointInterval time.Duration
	// RemoteDataFactor is how many times as long a task takes away from its data.
	RemoteDataFactor float64
}

const (
	// clockDrift is how much longer a lease may last on a worker's slow clock:
	// the platform allows 2 % and the rest is for the estimate of its clock.
	clockDrift = 1.03
	// leaseMargin covers the delay between a lease's end and the end of the run.
	leaseMargin = 150 * time.Millisecond
	// freshLook is the age up to which a look proves a worker reachable: two
	// of the longest waits and a round trip.
	freshLook = 2500 * time.Millisecond
	// refusedPause keeps tasks off a worker that has just refused one.
	refusedPause = 700 * time.Millisecond
	// avoidAfterFailure keeps a task off the worker on which it failed.
	avoidAfterFailure = 1500 * time.Millisecond
	// bornMargin is how much older than PriorOrders a worker must be to prove that
	// the last owner gave no order on its VM lately: an order takes two seconds.
	bornMargin = time.Second
	// failuresToQuarantine is how many runs in a row must fail on a worker, of
	// two jobs or more, before it gets no new work for a while.
	failuresToQuarantine = 3
	// quarantine is the first pause of a worker that fails what it starts; each
	// further failure doubles it up to maxQuarantine.
	quarantine    = 2 * time.Second
	maxQuarantine = 20 * time.Second
)
