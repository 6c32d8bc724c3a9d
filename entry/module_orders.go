package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
)

// ordersStream is the name prefix of the order streams.
const ordersStream = "orders"

// orderShards are the streams of the orders' claims.
type orderShards struct {
	*shardSet
}

// ordersModule provides the components that run orders at most once.
var ordersModule = fx.Module("orders",
	fx.Provide(
		newOrderShards,
		newOrders,
		fx.Annotate(newOrderTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newOrderStopStep, fx.ResultTags(`group:"stop_steps"`)),
	),
	fx.Invoke(publishOrderMetrics),
)

func newOrderShards(s settings.Entry, newShardSet shardSetFactory) orderShards {
	return orderShards{newShardSet(ordersStream, s.OrderStreams)}
}

func newOrders(id identity, shards orderShards, workers provider.Workers, clock clockwork.Clock, m *membership.Membership) *dispatch.OrderResolver {
	return dispatch.NewOrderResolver(dispatch.OrderResolverConfig{
		Incarnation: id.incarnation, Shards: shards.get, Workers: workers, Clock: clock, Alive: reachable(m),
	})
}

// reachable returns a function that reports whether an entry incarnation is
// reachable.
func reachable(m *membership.Membership) func(string) bool {
	return func(incarnation string) bool {
		for _, member := range m.Reachable() {
			if member.Incarnation == incarnation {
				return true
			}
		}
		return false
	}
}

func newOrderTasks(shards orderShards, orders *dispatch.OrderResolver) []backgroundTask {
	return []backgroundTask{
		{name: "order streams", run: shards.run},
		{name: "open orders", run: orders.Run},
	}
}

// newOrderStopStep waits until the outcomes of all orders are in the log.
func newOrderStopStep(orders *dispatch.OrderResolver, clock clockwork.Clock) stopStep {
	return stopStep{name: "settle orders", run: func(ctx context.Context) error {
		for orders.PendingSettlements() > 0 {
			select {
			case <-ctx.Done():
				return errors.Newf("%d outcomes of orders are not in the log", orders.PendingSettlements())
			case <-clock.After(10 * time.Millisecond):
			}
		}
		return nil
	}}
}
