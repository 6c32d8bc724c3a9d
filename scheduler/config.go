package scheduler

import "time"

// Policies switches on decisions under overload; see settings.Policies.
type Policies struct {
	Entitlement    bool
	Preemption     bool
	Consolidation  bool
	Lookahead      bool
	StoredVMOrders bool
}

// Config holds the platform's time bounds and the leader's fencing token.
type Config struct {
	// FencingToken is the leader's fencing token.
	FencingToken int64
	// FencingTokens is how many tokens the leader holds, from FencingToken on: the
	// incarnations of one worker get successive ones, and share the last. 0 stands for 1.
	FencingTokens int64
	// LeaseDuration is how far each poll extends the leases on a worker.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that a worker gives, whatever deadline a request names.
	MaxLease time.Duration
	// PreviousLeaderWindow is how long after this leader's takeover an earlier one may
	// still extend leases, by LeaseDuration.
	PreviousLeaderWindow time.Duration
	// PreviousLeaderOperationWindow is how long after the takeover a VM operation of
	// the previous leader may conflict with a new one; 0 if that leader resigned.
	PreviousLeaderOperationWindow time.Duration
	// MaxStopTime is the longest that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaintenanceTime and MoveTime are how long a VM is unavailable.
	MaintenanceTime time.Duration
	MoveTime        time.Duration
	// CheckpointInterval is the work between two checkpoints.
	CheckpointInterval time.Duration
	// RestoreTime is how long a worker takes to resume a task from its checkpoint.
	RestoreTime time.Duration
	// Policies are the decisions under overload that are switched on.
	Policies Policies
	// RemoteDataFactor is the slowdown of a task that runs remote from its data.
	RemoteDataFactor float64
}

const (
	// maxClockDrift is how much longer a lease may last on a worker's slow clock: the
	// platform allows 2 %, the rest covers the error of the clock estimate.
	maxClockDrift = 1.03
	// leaseMargin covers the delay between a lease's expiry and the end of the run.
	leaseMargin = 150 * time.Millisecond
	// statusFreshFor is the age up to which a status proves a worker reachable: two
	// poll intervals at their longest and a round trip.
	statusFreshFor = 2500 * time.Millisecond
	// statusCurrentFor is the age up to which a status is taken for the present one: hardly
	// a worker restarts in less.
	statusCurrentFor = 250 * time.Millisecond
	// maxSubmissionAge bounds how long ago a job may have arrived that the leader has
	// just read: longer ages come from an entry's clock that has jumped.
	maxSubmissionAge = 1500 * time.Millisecond
	// refusalBackoff keeps tasks off a worker that has just refused one.
	refusalBackoff = 700 * time.Millisecond
	// avoidAfterFailure keeps a task off the worker on which it failed.
	avoidAfterFailure = 1500 * time.Millisecond
	// workerAgeMargin is added to PreviousLeaderOperationWindow: a worker older than
	// both proves that its VM had no recent operation, which takes two seconds.
	workerAgeMargin = time.Second
	// failuresToQuarantine is how many consecutive runs, of two jobs or more, must fail
	// on a worker before it gets no new tasks for a while.
	failuresToQuarantine = 3
	// initialQuarantine is the first quarantine of a failing worker; each further
	// failure doubles it up to maxQuarantine.
	initialQuarantine = 2 * time.Second
	maxQuarantine     = 20 * time.Second
)
