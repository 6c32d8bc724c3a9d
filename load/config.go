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
	// Rate is the mean number of requests a second over all teams.
	Rate float64
	// Duration bounds the time in which requests are sent.
	Duration time.Duration
	// MaxRequests bounds their number.
	MaxRequests int
	// Work is the mean run time of a request. Single ones are ten-fold apart.
	Work time.Duration
	// Timeout is the callers' patience.
	Timeout time.Duration
	// Orders is the part of the requests that are orders, from 0 to 1.
	Orders float64
	// Steady keeps each team's demand at its mean. Otherwise it rotates between
	// five times the mean and a twentieth.
	Steady bool
	// Seed makes arrivals and run times repeatable.
	Seed uint64
	// Capacity is the number of slots of the template's pools.
	Capacity int
}
