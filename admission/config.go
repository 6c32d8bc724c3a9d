package admission

import "time"

const (
	// DefaultMaxWaitingPerTeam bounds the waiting requests of one team.
	DefaultMaxWaitingPerTeam = 256
	// DefaultMaxWait is the time within which urgent work starts or is refused.
	DefaultMaxWait = 1500 * time.Millisecond
	// DefaultRunTimeQuantile is the quantile of the recent run times that is
	// taken as the run time of a new request.
	DefaultRunTimeQuantile = 0.99
)

// Config configures a WaitQueue.
type Config struct {
	// MaxWaitingPerTeam bounds the waiting requests of one team.
	MaxWaitingPerTeam int
	// MaxWait bounds the wait of a request.
	MaxWait time.Duration
	// RunTimeQuantile is the quantile of the recent run times that must fit
	// before a request's deadline.
	RunTimeQuantile float64
	// Running returns the number of the team's tasks that run here.
	Running func(team string) int
}
