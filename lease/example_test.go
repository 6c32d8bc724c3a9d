package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/lease"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// A process takes a lease that is kept in the log and gives it up; the next
// holder's epoch is higher, so that records of the first one are void.
func ExampleKeeper() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewRealClock()
	log := fakelog.New(clock)
	keep := func(name string) *lease.Keeper {
		stream := logstream.New(logstream.Config{
			Name: "control", Writer: name, Log: log.ForClient(name), Clock: clock,
			Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
		}, statemachine.New())
		go stream.Run(ctx)
		keeper := lease.NewKeeper(lease.Config{
			Name: "reports", Self: name, TTL: time.Minute, Log: stream, Stopwatch: lease.NewStopwatch(clock), Clock: clock,
		})
		for stream.Staleness() > time.Minute {
			time.Sleep(time.Millisecond)
		}
		go keeper.Run(ctx)
		return keeper
	}
	holds := func(keeper *lease.Keeper) uint64 {
		for {
			if epoch, ok := keeper.Epoch(); ok {
				return epoch
			}
			time.Sleep(time.Millisecond)
		}
	}
	first := keep("entry-1")
	fmt.Println("entry-1 holds epoch", holds(first))
	if err := first.Release(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println("entry-2 holds epoch", holds(keep("entry-2")))
	_, ok := first.Epoch()
	fmt.Println("entry-1 holds it:", ok)
	// Output:
	// entry-1 holds epoch 1
	// entry-2 holds epoch 2
	// entry-1 holds it: false
}
