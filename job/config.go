package job

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// maxActiveJobs bounds the jobs that one entry executes concurrently.
	maxActiveJobs = 256
	// scanInterval is the time between two scans of the unfinished jobs.
	scanInterval = 100 * time.Millisecond
	// placeTimeout bounds one search for a slot, so that other jobs get their
	// turn.
	placeTimeout = time.Second
	// agingThreshold is the time in the queue after which a job waits in the
	// admission queue with the requests.
	agingThreshold = 5 * time.Second
	// queuedPlaceTimeout bounds that wait. It exceeds the maximum wait of urgent
	// requests, since a team's waiters are served in order of arrival.
	queuedPlaceTimeout = 10 * time.Second
	// maxAgedJobs bounds the aged jobs of one entry that hold a slot or wait for
	// one.
	maxAgedJobs = 1
	// preemptionProtection is the time after its start for which an aged job is
	// not preempted.
	preemptionProtection = 30 * time.Second
	// recordTimeout bounds the wait for one record to be appended.
	recordTimeout = 2 * time.Second
	// claimTimeout bounds the wait for the record of a start, whose slot lease
	// does not last longer.
	claimTimeout = time.Second
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 250 * time.Millisecond
	// unlistedStartTimeout is the time after which a start that the VM does not
	// list can no longer be executed.
	unlistedStartTimeout = placement.LeaseTTL + 3*time.Second
	// lostTimeout is the time without an answer from the VM after which the
	// start of an idempotent job counts as lost.
	lostTimeout = 30 * time.Second
	// lostTimeoutAtMostOnce is the same for a job that runs at most once.
	lostTimeoutAtMostOnce = 10 * time.Minute
	// maxStreamStaleness is the staleness of a stream beyond which the log
	// counts as unavailable.
	maxStreamStaleness = 2 * time.Second
	// maxInflightRecordsPerTeam bounds the records that clients of one team have
	// in flight.
	maxInflightRecordsPerTeam = 64
	// MaxAnswerBytes bounds the answer that is retained with a job.
	MaxAnswerBytes = 512 << 10
)

// Starter places and starts tasks within the limits of the teams.
type Starter interface {
	// Place acquires a slot lease and one unit of the team's allotment, or
	// reports false when the context ends.
	Place(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool)
	// PlaceQueued is Place for a job that waits in the admission queue with the
	// requests.
	PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool)
	// ReturnSlot returns an unused slot that Place acquired.
	ReturnSlot(team string, slot *placement.LeasedSlot)
	// RunTask starts the task, waits for its outcome and returns what Place
	// acquired.
	RunTask(ctx context.Context, slot *placement.LeasedSlot, task provider.Task) (dispatch.AttemptOutcome, []byte, error)
}

// Config holds the dependencies of a Runner. All fields are required.
type Config struct {
	// Incarnation identifies the incarnation of this entry.
	Incarnation string
	// Shards returns the job streams, or nil while their number is unknown.
	Shards  func() *logstream.Shards
	Starter Starter
	Workers provider.Workers
	Clock   clockwork.Clock
	// Classifier returns the verdicts on failed starts.
	Classifier FailureClassifier
	// Peers returns the incarnations of the other entries that are known to run.
	Peers func() []string
}
