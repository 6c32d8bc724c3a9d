package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/fleet"
)

// worker is one life of a worker as the owner knows it.
type worker struct {
	info fleet.Worker
	// used is what its runs take, those that are being stopped included.
	used  fleet.Resources
	tasks map[fleet.TaskID]*task
	// strays is what runs take that are there and are not assigned.
	strays fleet.Resources
	// looked tells that a look under the owner's token has succeeded: earlier
	// owners can order nothing more there.
	looked bool
	// clockMillis is the worker's clock at clockAt.
	clockMillis int64
	clockAt     time.Time
	// leasedUntil is when all leases must have run out if nothing extends them.
	leaseFrom time.Time
	leaseFor  time.Duration
	lookedAt  time.Time
	// missed counts the looks in a row that failed.
	missed int
	// handled is the number of the last end taken in, recorded that of the last
	// one stored.
	handled  int64
	recorded int64
	// avoidUntil keeps new work off the worker.
	avoidUntil time.Time
	// failedInRow counts failed runs since the last success, failedJob is the
	// job of the first and severalJobs tells that another job failed, too.
	failedInRow int
	failedJob   string
	severalJobs bool
	pause       time.Duration
	// registered tells that the worker is on the platform's list.
	registered bool
	// cordoned workers get no new work: their VM is to be moved or maintained.
	cordoned bool
	// ending tells that an order is under way that ends all that runs there.
	ending bool
	// dueMaintenance VMs will be maintained soon.
	dueMaintenance bool
	// dead lives have ended.
	dead bool
}

// free returns the room that is left.
func (w *worker) free() fleet.Resources { return w.info.Capacity.Minus(w.used).Minus(w.strays) }

// usable reports whether new work may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.looked && w.registered && !w.dead && !w.info.Draining && !w.cordoned &&
		w.missed == 0 && now.Sub(w.lookedAt) < freshLook && !now.Before(w.avoidUntil)
}

// extendLease notes that an order sent at the time may make leases last so long.
func (w *worker) extendLease(at time.Time, lease time.Duration) {
	if remaining := w.leaseFor - bothclocks.Least(at, w.leaseFrom); w.leaseFrom.IsZero() || lease > remaining {
		w.leaseFrom, w.leaseFor = at, lease
	}
}

// lapsed reports whether all leases on the worker must have run out.
func (w *worker) lapsed(now time.Time) bool {
	bound := time.Duration(float64(w.leaseFor)*clockDrift) + leaseMargin
	return bothclocks.Least(now, w.leaseFrom) > bound
}

// clock returns the worker's clock at the time, as far as it is known.
func (w *worker) clock(now time.Time) int64 {
	return w.clockMillis + now.Sub(w.clockAt).Milliseconds()
}

// endpoint returns where to reach this life of the worker.
func (w *worker) endpoint() fleet.Endpoint {
	return fleet.Endpoint{WorkerID: w.info.ID, Address: w.info.Address}
}
