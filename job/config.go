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
	// maxActive bounds the jobs that one entry carries out at once.
	maxActive = 256
	// scanInterval is the time between two looks at the open jobs.
	scanInterval = 100 * time.Millisecond
	// placeFor bounds one search for a slot, after which other jobs get a turn.
	placeFor = time.Second
	// agedAfter is the time in the queue after which a job waits in line with
	// the requests.
	agedAfter = 5 * time.Second
	// inLineFor bounds such a wait. It is longer than that of urgent requests,
	// since a team's waiters are served in order of arrival.
	inLineFor = 10 * time.Second
	// agedAtOnce bounds the jobs of one entry that have come to a slot, or seek
	// one, in that way.
	agedAtOnce = 1
	// protectedFor is the time for which such a job does not give way.
	protectedFor = 30 * time.Second
	// recordTimeout bounds the wait for one record.
	recordTimeout = 2 * time.Second
	// claimTimeout bounds the wait for the record of a start, whose slot lease
	// does not last longer.
	claimTimeout = time.Second
	// retryDelay is the pause after a call that failed.
	retryDelay = 250 * time.Millisecond
	// absentAfter is the time after which a start that the VM does not list
	// cannot begin any more.
	absentAfter = placement.LeaseTTL + 3*time.Second
	// lostAfter is the time after which the start of an idempotent job counts
	// as lost if its VM does not answer.
	lostAfter = 30 * time.Second
	// lostOnceAfter is the same for a job that runs at most once.
	lostOnceAfter = 10 * time.Minute
	// staleAfter is the age of a stream beyond which the log counts as down.
	staleAfter = 2 * time.Second
	// recordsPerTeam bounds the records of callers that one team has under way.
	recordsPerTeam = 64
	// MaxAnswerBytes bounds the answer that a job keeps, in bytes.
	MaxAnswerBytes = 512 << 10
)

// Starter places and starts tasks within the upper limits.
type Starter interface {
	// Place takes a slot lease and a unit of the team's allotment, or reports
	// false at the end of the context.
	Place(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool)
	// PlaceQueued is Place for a job that waits in line with requests.
	PlaceQueued(ctx context.Context, team string, pools []string, avoid string) (*placement.LeasedSlot, bool)
	// ReturnSlot returns what Place took, unused.
	ReturnSlot(team string, held *placement.LeasedSlot)
	// RunTask sends one start and gives back what Place took.
	RunTask(ctx context.Context, held *placement.LeasedSlot, task provider.Task) (dispatch.AttemptOutcome, []byte, error)
}

// Config holds what a Runner works with. All members are required.
type Config struct {
	// Incarnation is the own incarnation.
	Incarnation string
	// Shards returns the streams of the jobs, or nil while their number is not
	// known.
	Shards  func() *logstream.Shards
	Starter Starter
	Workers provider.Workers
	Clock   clockwork.Clock
	// Classifier gives the verdicts on failed starts.
	Classifier FailureClassifier
	// Peers returns the entry incarnations that are known to run, without
	// the own one.
	Peers func() []string
}
