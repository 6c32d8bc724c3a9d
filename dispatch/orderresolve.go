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
	// resolveInterval is the time between two looks at the open claims.
	resolveInterval = 250 * time.Millisecond
	// maxAskInterval bounds the time between two questions about a claim that
	// no caller waits for.
	maxAskInterval = 30 * time.Second
)

// claimRef names one claim of an order.
type claimRef struct {
	order  string
	number int
}

// sighting is what the resolver remembers of an open claim.
type sighting struct {
	first time.Time
	next  time.Time
}

// openClaim is an open claim and its stream.
type openClaim struct {
	ref    claimRef
	order  *statemachine.Order
	stream *logstream.Watched
}

// Run resolves open claims until the context ends: it asks their VMs what
// became of the order, wherever the holder is.
func (o *OrderResolver) Run(ctx context.Context) {
	defer o.end()
	periodic.Run(ctx, o.cfg.Clock, resolveInterval, o.resolveAll)
}

func (o *OrderResolver) resolveAll(ctx context.Context) {
	byAddress := make(map[string][]openClaim)
	for _, c := range o.due() {
		byAddress[c.order.Address] = append(byAddress[c.order.Address], c)
	}
	var wg sync.WaitGroup
	for address, claims := range byAddress {
		wg.Go(func() { o.resolve(ctx, address, claims) })
	}
	wg.Wait()
}

// due returns the open claims to ask about now, and forgets the sightings of
// those that are settled.
func (o *OrderResolver) due() []openClaim {
	shards := o.cfg.Shards()
	if shards == nil {
		return nil
	}
	now := o.cfg.Clock.Now()
	starting, waiting := orderSet(&o.starting), orderSet(&o.waiting)
	seen := make(map[claimRef]*sighting)
	var out []openClaim
	for _, stream := range shards.All() {
		state := stream.State()
		for id, number := range state.UnsettledOrders.All() {
			order, ok := state.Orders.Get(id)
			if !ok {
				continue
			}
			ref := claimRef{order: id, number: number}
			s := o.sight(ref, now)
			seen[ref] = s
			if !starting[id] && o.concerns(order, waiting[id]) && s.due(now, waiting[id]) {
				out = append(out, openClaim{ref: ref, order: order, stream: stream})
			}
		}
	}
	o.sightings = seen
	return out
}

func (o *OrderResolver) sight(ref claimRef, now time.Time) *sighting {
	if s, ok := o.sightings[ref]; ok {
		return s
	}
	return &sighting{first: now}
}

// concerns reports whether this entry asks about the claim: its own ones,
// those that a caller waits for here, and those whose holder is not known to
// run.
func (o *OrderResolver) concerns(order *statemachine.Order, waited bool) bool {
	return waited || order.Holder == o.cfg.Incarnation || !o.cfg.Alive(order.Holder)
}

// due reports whether it is time to ask, less and less often unless a caller
// waits.
func (s *sighting) due(now time.Time, waited bool) bool {
	if !waited && now.Before(s.next) {
		return false
	}
	s.next = now.Add(min(maxAskInterval, now.Sub(s.first)/4))
	return true
}

// resolve asks one VM and settles what its record proves.
func (o *OrderResolver) resolve(ctx context.Context, address string, claims []openClaim) {
	asked := o.cfg.Clock.Now()
	listCtx, cancel := context.WithTimeout(ctx, limboTimeout)
	list, err := o.cfg.Workers.ListTasks(listCtx, address)
	cancel()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, c := range claims {
		settle := judge(c.order, list, asked.Sub(o.sightings[c.ref].first))
		if settle != nil {
			wg.Go(func() { o.trySettle(ctx, c.stream, settle) })
		}
	}
	wg.Wait()
}

// judge returns the outcome of an open claim that the VM's record proves, or
// nil. Openfor is the time for which the claim was known to be open when the
// VM was asked. A task that the VM does not list cannot begin any more once
// the lease that the claim is bound to has lapsed, and has not begun if the
// record then still reaches back to the lease.
func judge(order *statemachine.Order, list provider.TaskList, openFor time.Duration) *statemachine.ClaimSettle {
	settle := &statemachine.ClaimSettle{Order: statemachine.OrderID(order.Team, order.Key), Attempt: order.Attempt}
	task, listed := findTask(list, order.Claim, order.Attempt)
	if !listed {
		if openFor < settleAfter || !list.Covers(order.Record, order.Started) {
			return nil
		}
		settle.Outcome, settle.Message = statemachine.OrderReleased, "the VM has no record of a start"
		return settle
	}
	switch task.State {
	case provider.TaskSucceeded:
		return answered(settle, task.Answer)
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

// orderSet returns the orders of a set of submissions.
func orderSet(submissions *sync.Map) map[string]bool {
	out := make(map[string]bool)
	submissions.Range(func(_, order any) bool {
		out[order.(string)] = true
		return true
	})
	return out
}
