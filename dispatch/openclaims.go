package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// resolveInterval is the time between two scans of the open claims.
	resolveInterval = 250 * time.Millisecond
	// maxQueryInterval bounds the time between two queries about a claim that
	// no caller waits for.
	maxQueryInterval = 30 * time.Second
)

// claimRef identifies one claim of an order.
type claimRef struct {
	order  string
	number int
}

// claimObservation schedules the queries about an open claim.
type claimObservation struct {
	firstSeen time.Time
	nextQuery time.Time
}

// openClaim is an unsettled claim and its stream.
type openClaim struct {
	ref    claimRef
	order  *statemachine.Order
	stream *logstream.WatchedStream
}

// Run resolves open claims until the context ends, by querying their VMs,
// whichever entry holds them.
func (r *OrderResolver) Run(ctx context.Context) {
	defer r.cancel()
	periodic.Run(ctx, r.cfg.Clock, resolveInterval, r.resolveAll)
}

func (r *OrderResolver) resolveAll(ctx context.Context) {
	byAddress := make(map[string][]openClaim)
	for _, c := range r.dueClaims() {
		byAddress[c.order.Address] = append(byAddress[c.order.Address], c)
	}
	var wg sync.WaitGroup
	for address, claims := range byAddress {
		wg.Go(func() { r.resolve(ctx, address, claims) })
	}
	wg.Wait()
}

// dueClaims returns the open claims to query now, and drops the observations of
// those that are settled.
func (r *OrderResolver) dueClaims() []openClaim {
	shards := r.cfg.Shards()
	if shards == nil {
		return nil
	}
	now := r.cfg.Clock.Now()
	starting, waiting := orderSet(&r.starting), orderSet(&r.waiting)
	observations := make(map[claimRef]*claimObservation)
	var out []openClaim
	for _, stream := range shards.Streams() {
		state := stream.State()
		for id, number := range state.UnsettledOrders.All() {
			order, ok := state.Orders.Get(id)
			if !ok {
				continue
			}
			ref := claimRef{order: id, number: number}
			observed := r.observation(ref, now)
			observations[ref] = observed
			if !starting[id] && r.isResponsibleFor(order, waiting[id]) && observed.queryDue(now, waiting[id]) {
				out = append(out, openClaim{ref: ref, order: order, stream: stream})
			}
		}
	}
	r.observations = observations
	return out
}

func (r *OrderResolver) observation(ref claimRef, now time.Time) *claimObservation {
	if observed, ok := r.observations[ref]; ok {
		return observed
	}
	return &claimObservation{firstSeen: now}
}

// isResponsibleFor reports whether this entry resolves the claim: its own ones,
// those that a caller waits for here, and those whose holder is not known to
// run.
func (r *OrderResolver) isResponsibleFor(order *statemachine.Order, callerWaits bool) bool {
	return callerWaits || order.Holder == r.cfg.Incarnation || !r.cfg.Alive(order.Holder)
}

// queryDue reports whether to query now. The interval grows unless a caller
// waits.
func (o *claimObservation) queryDue(now time.Time, callerWaits bool) bool {
	if !callerWaits && now.Before(o.nextQuery) {
		return false
	}
	o.nextQuery = now.Add(min(maxQueryInterval, now.Sub(o.firstSeen)/4))
	return true
}

// resolve queries one VM and settles the claims whose outcome it proves.
func (r *OrderResolver) resolve(ctx context.Context, address string, claims []openClaim) {
	queriedAt := r.cfg.Clock.Now()
	listCtx, cancel := context.WithTimeout(ctx, listTasksTimeout)
	list, err := r.cfg.Workers.ListTasks(listCtx, address)
	cancel()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, c := range claims {
		settle := settlementFromTaskList(c.order, list, queriedAt.Sub(r.observations[c.ref].firstSeen))
		if settle != nil {
			wg.Go(func() { r.trySettle(ctx, c.stream, settle) })
		}
	}
	wg.Wait()
}

// settlementFromTaskList returns the outcome of an open claim that the VM's
// task list proves, or nil. OpenFor is how long the claim was known to be open
// when the VM was queried. A task that is not listed can no longer start once
// the lease that the claim is bound to has expired, and has not started if the
// list still covers the time since the lease was granted.
func settlementFromTaskList(order *statemachine.Order, list provider.TaskList, openFor time.Duration) *statemachine.ClaimSettle {
	settle := &statemachine.ClaimSettle{Order: statemachine.OrderID(order.Team, order.Key), Attempt: order.Attempt}
	task, listed := findTask(list, order.Claim, order.Attempt)
	if !listed {
		if openFor < absenceProvenAfter || !list.Covers(order.Record, order.Started) {
			return nil
		}
		settle.Outcome, settle.Message = statemachine.OrderReleased, "the VM has no record of a start"
		return settle
	}
	switch task.State {
	case provider.TaskSucceeded:
		return setAnswer(settle, task.Answer)
	case provider.TaskFailed:
		settle.Outcome, settle.Message = statemachine.OrderFailed, "the task failed"
		return settle
	case provider.TaskStopped:
		settle.Outcome, settle.Message = statemachine.OrderFailed, "the task was stopped before its end"
		return settle
	default:
		return nil
	}
}

// orderSet returns the order IDs of a set of submissions.
func orderSet(submissions *sync.Map) map[string]bool {
	out := make(map[string]bool)
	submissions.Range(func(_, order any) bool {
		out[order.(string)] = true
		return true
	})
	return out
}
