package admission

import "time"

const (
	// DefaultMaxWaitingPerTeam bounds the requests of one team that wait.
	DefaultMaxWaitingPerTeam = 256
	// DefaultMaxWait is the time within which urgent work starts or is refused.
	DefaultMaxWait = 1500 * time.Millisecond
	// DefaultRunTimeQuantile is the part of the latest requests that ran no longer than
	// the run time that a start is judged by.
	DefaultRunTimeQuantile = 0.99
)

// Config bounds a Line.
type Config struct {
	// MaxWaitingPerTeam bounds the requests of one team that wait.
	MaxWaitingPerTeam int
	// MaxWait bounds the wait of a request.
	MaxWait time.Duration
	// RunTimeQuantile is the quantile of the observed run times that a start must have
	// time for.
	RunTimeQuantile float64
	// Running returns the number of tasks that run here for a team.
	Running func(team string) int
}
