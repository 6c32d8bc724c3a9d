package quota_test

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Two entries divide a team's upper limit between them by records in the log.
// Each then starts work against its own ledger without asking anyone.
func ExampleAllotter() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewRealClock()
	log := fakelog.New(clock)
	var streams []*logstream.Stream
	for _, name := range []string{"entry-1", "entry-2"} {
		stream := logstream.New(logstream.Config{
			Name: "control", Writer: name, Log: log.ForClient(name), Clock: clock,
			Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
		}, statemachine.New())
		go stream.Run(ctx)
		entry := statemachine.Entry{Incarnation: name, Name: name, AvailabilityZone: "az-1", PeerAddress: "127.0.0.1:1", ClientAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3"}
		if _, err := stream.Propose(ctx, &statemachine.EntryJoin{Entry: entry}); err != nil {
			fmt.Println(err)
		}
		streams = append(streams, stream)
	}
	for _, command := range []statemachine.Command{
		&statemachine.PoolSet{Pool: statemachine.Pool{Name: "pool-1", MaxUnavailable: 1}},
		&statemachine.TemplateSet{Template: statemachine.Template{Name: "quotations", Pools: []string{"pool-1"}}},
		&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "porto", Template: "quotations", Team: "porto", Limit: 10}},
	} {
		if result, err := streams[0].Propose(ctx, command); err != nil || result.Rejection != nil {
			fmt.Println(err, result.Rejection)
		}
	}
	ledgers := []*quota.Ledger{quota.NewLedger(), quota.NewLedger()}
	for i, stream := range streams {
		allotter := quota.NewAllotter([]string{"entry-1", "entry-2"}[i], stream, ledgers[i], clock, hclog.NewNullLogger())
		go allotter.Run(ctx)
	}
	allotted := func(i int) int { return ledgers[i].Usage("porto").Allotted }
	for allotted(0)+allotted(1) < 10 {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(allotted(0), "and", allotted(1))
	// Output:
	// 5 and 5
}
