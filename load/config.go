package load

import (
	"net/http"
	"time"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/settings"
)

// Config says what to drive.
type Config struct {
	// Operator is a client for the operators' address of any entry.
	Operator *api.Client
	// HTTP sends the callers' requests.
	HTTP *http.Client
	// Catalog is the user's template with its teams.
	Catalog settings.Catalog
	// Rate is the mean number of requests a second over all teams, orders
	// included and jobs not.
	Rate float64
	// Duration bounds the time in which work is submitted.
	Duration time.Duration
	// MaxRequests bounds the number of requests and jobs.
	MaxRequests int
	// MeanRunTime is the mean run time of a request. Single ones are ten-fold apart.
	MeanRunTime time.Duration
	// Timeout is the callers' patience.
	Timeout time.Duration
	// OrderFraction is the part of the requests that are orders, from 0 to 1.
	OrderFraction float64
	// RepeatFraction is the part of the orders that are sent a second time, with the
	// same key and through any entry, from 0 to 1.
	RepeatFraction float64
	// JobRate is the mean number of jobs a second over all teams.
	JobRate float64
	// AtMostOnceFraction is the part of the jobs that run at most once, from 0 to 1, for a
	// template with job queues of both kinds.
	AtMostOnceFraction float64
	// MeanJobRunTime is the mean run time of a job.
	MeanJobRunTime time.Duration
	// JobTimeout bounds the time from a job's submission in which it must end.
	JobTimeout time.Duration
	// CancelFraction is the part of the jobs that are cancelled, from 0 to 1.
	CancelFraction float64
	// CancelInterval is the interval at which all due cancellations are sent at
	// once. With 0 each is sent when it is due.
	CancelInterval time.Duration
	// Steady keeps each team's demand at its mean. Otherwise it rotates between
	// five times the mean and a twentieth.
	Steady bool
	// Seed makes arrivals and run times repeatable.
	Seed uint64
	// Capacity is the number of slots of the template's pools.
	Capacity int
	// ReadStartCounts reads the workers' own account of starts by task. Without it the
	// promises that need it are not checked.
	ReadStartCounts func() (map[string]int, error)
	// Progress is called each ProgressEvery while the load runs, if it is set.
	Progress         func(Progress)
	ProgressInterval time.Duration
}
