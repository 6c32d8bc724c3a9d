package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
)

const (
	defaultWaveDeadline = 10 * time.Minute
	defaultWaveParallel = 8
)

type waveCommand struct {
	operatorCommand
	pools       string
	deadline    time.Duration
	parallel    int
	maxFailures int
}

func (*waveCommand) Name() string     { return "wave" }
func (*waveCommand) Synopsis() string { return "start, steer and watch maintenance waves" }
func (*waveCommand) Usage() string {
	return "wave status | -pools A,B [-deadline T] [-parallel N] [-max-failures N] start ID | pause ID | resume ID | abort ID\n" +
		"  Flags come before the verb.\n"
}

func (c *waveCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.pools, "pools", "", "the pools to maintain, separated by commas")
	f.DurationVar(&c.deadline, "deadline", defaultWaveDeadline, "the time after which a VM that is not empty is given up")
	f.IntVar(&c.parallel, "parallel", defaultWaveParallel, "the greatest number of VMs under maintenance at once")
	f.IntVar(&c.maxFailures, "max-failures", 0, "the number of maintained VMs that may fail before the wave pauses")
}

func (c *waveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, id := f.Arg(0), f.Arg(1)
	switch {
	case verb == "status":
		return c.status(ctx)
	case verb == "start" && id != "" && c.pools != "":
		accepted, err := c.client().StartWave(ctx, api.WaveRequest{
			ID: id, Pools: strings.Split(c.pools, ","), DeadlineMS: c.deadline.Milliseconds(),
			MaxParallel: c.parallel, MaxFailures: c.maxFailures,
		})
		return c.change(accepted, err)
	case (verb == "pause" || verb == "resume" || verb == "abort") && id != "":
		accepted, err := c.client().ChangeWave(ctx, id, verb)
		return c.change(accepted, err)
	default:
		return c.usage("wave takes status, start ID with -pools, pause ID, resume ID or abort ID")
	}
}

func (c *waveCommand) change(accepted api.Accepted, err error) subcommands.ExitStatus {
	if err != nil {
		return c.fail(err)
	}
	return c.accepted(accepted)
}

func (c *waveCommand) status(ctx context.Context) subcommands.ExitStatus {
	waves, err := c.client().Waves(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(waves))
	}
	return c.done(printWaves(c.stdout, waves))
}

// printWaves writes the waves and what they wait for as a table.
func printWaves(w io.Writer, waves []api.WaveStatus) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "WAVE\tSTATE\tDONE\tACTIVE\tPENDING\tBLOCKED\tGIVEN UP\tLENT\tPLANNER\tCAUSE")
	for _, wave := range waves {
		p := wave.Progress
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			wave.ID, wave.State, p.Done, p.Active, p.Pending, p.Blocked, p.Skipped, p.Lent, wave.Planner, wave.Cause)
	}
	for _, wave := range waves {
		for _, condition := range wave.Conditions {
			fmt.Fprintf(table, "  %s waits:\t%s\t%s\t%s\t%s\n", wave.ID, condition.Reason, condition.Pool, condition.VM, condition.Message)
		}
	}
	return table.Flush()
}
