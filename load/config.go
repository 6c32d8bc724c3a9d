package load

import (
	"net/http"
	"time"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/settings"
)

// Config describes the load to generate.
type Config struct {
	// Operator is a client of any entry's operator address.
	Operator *api.Client
	// HTTP sends the requests and jobs.
	HTTP *http.Client
	// Catalog is the user's template with its teams.
	Catalog settings.Catalog
	// Rate is the mean number of requests per second over all teams, including
	// orders but not jobs.
	Rate float64
	// Duration bounds the time during which work is submitted.
	Duration time.Duration
	// MaxRequests bounds the number of requests and jobs.
	MaxRequests int
	// MeanRunTime is that of a request. Single run times span a ten-fold range.
	MeanRunTime time.Duration
	// Timeout is the request timeout.
	Timeout time.Duration
	// OrderFraction is the fraction of the requests that are orders, from 0 to 1.
	OrderFraction float64
	// RepeatFraction is the fraction of the orders that are sent a second time, with
	// the same key and through any entry, from 0 to 1.
	RepeatFraction float64
	// JobRate is the mean number of jobs per second over all teams.
	JobRate float64
	// AtMostOnceFraction is the fraction of the jobs that run at most once, from 0
	// to 1, for a template with job queues of both kinds.
	AtMostOnceFraction float64
	// MeanJobRunTime is the mean run time of a job.
	MeanJobRunTime time.Duration
	// JobTimeout is the time from its submission within which a job must finish.
	JobTimeout time.Duration
	// CancelFraction is the fraction of the jobs that are cancelled, from 0 to 1.
	CancelFraction float64
	// CancelInterval is the interval at which all due cancellations are sent at
	// once. If it is 0, each is sent when it is due.
	CancelInterval time.Duration
	// Steady keeps each team's demand at its mean. Otherwise it alternates between
	// five times the mean and a twentieth of it.
	Steady bool
	// Seed makes arrivals and run times reproducible.
	Seed uint64
	// Capacity is the number of slots of the template's pools.
	Capacity int
	// ReadStartCounts returns the starts by task that the workers recorded. If it is
	// nil, the guarantees that need it are not checked.
	ReadStartCounts func() (map[string]int, error)
	// Progress, if set, is called each ProgressInterval while the load runs.
	Progress         func(Progress)
	ProgressInterval time.Duration
}
