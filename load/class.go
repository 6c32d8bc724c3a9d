package load

// Class is a kind of work that a load reports on.
type Class string

const (
	// ClassRequest is an urgent request.
	ClassRequest Class = "request"
	// ClassOrder is an order, which runs at most once.
	ClassOrder Class = "order"
	// ClassJob is a job that may run again.
	ClassJob Class = "job"
	// ClassJobAtMostOnce is a job that runs at most once.
	ClassJobAtMostOnce Class = "job_once"
)

// classes are all of them, in the order of a report.
var classes = []Class{ClassRequest, ClassOrder, ClassJob, ClassJobAtMostOnce}
