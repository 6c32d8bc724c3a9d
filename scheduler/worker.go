package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// worker is one incarnation of a worker as the leader knows it.
type worker struct {
	info fleet.Worker
	// fencingToken is the token of requests to the incarnation.
	fencingToken int64
	// used is the capacity of its assigned runs, stopping ones included.
	used  fleet.Resources
	tasks map[fleet.TaskID]*task
	// nominated holds the tasks for which room is being freed here.
	nominated []*task
	// unassignedUse is the capacity used by runs that are not assigned.
	unassignedUse fleet.Resources
	// unassignedByTeam is the part of it that counts against the limit of a team.
	unassignedByTeam map[*team]fleet.Resources
	// strays holds the runs that are not assigned, by their tasks.
	strays map[*task]*stray
	// newestPollSent is when the newest poll with a response was sent.
	newestPollSent time.Time
	// polled reports that a poll by this leader has succeeded: since then, the worker
	// rejects requests of earlier leaders.
	polled bool
	// clockMillis is the worker's clock at clockAt.
	clockMillis int64
	clockAt     time.Time
	// lease is until when runs may exist under the worker's ID.
	lease      *leaseHorizon
	lastPollAt time.Time
	// pollRequestedAt is when a poll was last requested for an assignment.
	pollRequestedAt time.Time
	// missedPolls counts the consecutive failed polls.
	missedPolls int
	// lastHandledOutcome is the last outcome number handled, lastRecordedOutcome the
	// last one stored.
	lastHandledOutcome  int64
	lastRecordedOutcome int64
	// forgottenOutcome is the last outcome that the worker no longer returns, up to the
	// last one stored.
	forgottenOutcome int64
	// avoidUntil keeps new tasks off the worker.
	avoidUntil time.Time
	// consecutiveFailures counts failed runs since the last success, firstFailedJob is
	// the first one's job; failedSeveralJobs is set once another job failed, too.
	consecutiveFailures int
	firstFailedJob      string
	failedSeveralJobs   bool
	quarantineDuration  time.Duration
	// recordOutdated is set while info is the record of an earlier incarnation: labels, pool
	// and capacity of this one are not known.
	recordOutdated bool
	// listed reports that the worker is on the platform's list.
	listed bool
	// cordoned workers get no new tasks: their VM is to be moved or maintained.
	cordoned bool
	// operationPending reports a pending VM operation that ends all runs there.
	operationPending bool
	// maintenanceDue is set while the VM awaits maintenance, maintenanceUrgent once its
	// wave ends soon.
	maintenanceDue    bool
	maintenanceUrgent bool
	// evacuated workers are in an availability zone in which no task may start.
	evacuated bool
	// reservation keeps the worker for a step that waits; nil for none.
	reservation *reservation
	// endsAt is when its last task was expected to end at endsComputedAt.
	endsAt         time.Time
	endsComputedAt time.Time
	// ended incarnations get no updates.
	ended bool
	// claimedAt is when the list named the incarnation; zero once a status has shown it.
	claimedAt time.Time
}

// free returns the capacity that is left.
func (w *worker) free() fleet.Resources { return w.info.Capacity.Minus(w.used).Minus(w.unassignedUse) }

// schedulable reports whether new tasks may be placed on the worker. An incarnation that only a
// status has shown gets none before the list tells of which kind it is.
func (w *worker) schedulable(now time.Time) bool {
	return w.polled && w.listed && !w.recordOutdated && !w.ended && !w.info.Draining && !w.cordoned && !w.evacuated &&
		w.statusFresh(now) && !now.Before(w.avoidUntil)
}

// statusFresh reports whether the newest status proves the incarnation reachable, so that requests
// may go out that extend its lease by the clock in it.
func (w *worker) statusFresh(now time.Time) bool {
	return w.missedPolls == 0 && now.Sub(w.lastPollAt) < statusFreshFor
}

// estimatedClock returns the worker's estimated clock at the given time.
func (w *worker) estimatedClock(now time.Time) int64 {
	return w.clockMillis + now.Sub(w.clockAt).Milliseconds()
}

// mayHaveRuns reports whether a run of an assigned task may exist on the worker.
func (w *worker) mayHaveRuns() bool {
	for _, t := range w.tasks {
		if t.mayHaveRun() {
			return true
		}
	}
	return false
}

// endpoint returns the address of this incarnation of the worker.
func (w *worker) endpoint() fleet.Endpoint {
	return fleet.Endpoint{WorkerID: w.info.ID, Address: w.info.Address, StartedAtMillis: w.info.StartedAtMillis, FencingToken: w.fencingToken}
}
