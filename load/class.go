package load

// Class is a kind of work that the report covers separately.
type Class string

const (
	// ClassRequest is an urgent request.
	ClassRequest Class = "request"
	// ClassOrder is an order, which runs at most once.
	ClassOrder Class = "order"
	// ClassJob is a job that may be retried.
	ClassJob Class = "job"
	// ClassJobAtMostOnce is a job that runs at most once.
	ClassJobAtMostOnce Class = "job_once"
)

// classes lists all classes in report order.
var classes = []Class{ClassRequest, ClassOrder, ClassJob, ClassJobAtMostOnce}
