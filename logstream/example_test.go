package logstream_test

import (
	"context"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Two processes write to one stream of the log. Each proposes a new pool and
// learns from the log which one came first; both then have the same state.
func ExampleStream_Propose() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewRealClock()
	log := fakelog.New(clock)
	open := func(writer string) *logstream.Stream {
		stream := logstream.New(logstream.Config{
			Name: "control", Writer: writer, Log: log.ForClient(writer), Clock: clock,
			Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
		}, statemachine.New())
		go stream.Run(ctx)
		return stream
	}
	first, second := open("entry-1"), open("entry-2")
	propose := func(stream *logstream.Stream, budget int) {
		pool := statemachine.Pool{Name: "pool-1", MaxUnavailable: budget}
		result, err := stream.Propose(ctx, &statemachine.PoolSet{Pool: pool})
		switch {
		case err != nil:
			fmt.Println("outcome unknown:", err)
		case result.Rejection != nil:
			fmt.Println("rejected:", result.Rejection.Reason)
		default:
			fmt.Println("applied")
		}
	}
	propose(first, 2)
	propose(second, 5)
	pool, _ := second.State().Pools.Get("pool-1")
	fmt.Println("budget", pool.MaxUnavailable)
	// Output:
	// applied
	// rejected: version_mismatch
	// budget 2
}
