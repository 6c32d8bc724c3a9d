package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/replay"
)

type replayCommand struct {
	*output
	platform string
	streams  string
	header   replay.Header
	during   time.Duration
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "record a run's log as a trace, or replay traces" }
func (*replayCommand) Usage() string {
	return `replay TRACE...
  Replay traces into the decisions and name each step that ends otherwise than
  stated.
replay -record URL [-for T] [-streams S,S] [-name TEXT] [-user TEXT] [-promise TEXT]
  Read streams of the log at the platform's base URL and print them as a trace.
  With -for, go on for that time or until a signal, and record also what the
  VMs' records prove of open orders and jobs and what is to be done for waves.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "record", "", "base `URL` of the platform whose log to record")
	f.StringVar(&c.streams, "streams", replay.ControlStream, "streams to record, separated by commas")
	f.DurationVar(&c.during, "for", 0, "time to record a run for as it goes on, up to 24h; 0 reads what the log holds")
	f.StringVar(&c.header.Trace, "name", "", "name of the recorded trace")
	f.StringVar(&c.header.User, "user", "", "user whose work is recorded")
	f.StringVar(&c.header.Guarantee, "promise", "", "invariant that the trace shows")
}

func (c *replayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.during < 0 || c.during > maxWatchFor {
		return c.usage("-for is %s; it must be from 0 to %s", c.during, maxWatchFor)
	}
	if c.platform != "" {
		return c.record(ctx)
	}
	if f.NArg() == 0 {
		return c.usage("replay needs a trace, or -record URL")
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.play(path); err != nil {
			status = c.fail(err)
		}
	}
	return status
}

func (c *replayCommand) record(ctx context.Context) subcommands.ExitStatus {
	trace, err := c.readTrace(ctx)
	if err != nil {
		return c.fail(err)
	}
	if err := trace.Write(c.stdout); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *replayCommand) readTrace(ctx context.Context) (replay.Trace, error) {
	client := provider.NewHTTPClient()
	log := provider.NewHTTPLog(c.platform, client)
	streams := strings.Split(c.streams, ",")
	if c.during == 0 {
		return replay.Record(ctx, log, c.header, streams)
	}
	ctx, cancel := context.WithTimeout(ctx, c.during)
	defer cancel()
	recorder := &replay.Recorder{
		Log: log, VMs: provider.NewHTTPVMs(c.platform, client), Workers: provider.NewHTTPWorkers(client), Streams: streams,
	}
	return recorder.Record(ctx, c.header)
}

func (c *replayCommand) play(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	trace, err := replay.Read(file)
	if err != nil {
		return errors.Wrap(err, path)
	}
	deviations := replay.Play(trace)
	for _, d := range deviations {
		fmt.Fprintf(c.stdout, "%s: %s\n", path, d)
	}
	if len(deviations) > 0 {
		return errors.Newf("%s: %d of %d steps ended otherwise than stated", path, len(deviations), len(trace.Steps))
	}
	fmt.Fprintf(c.stdout, "%s: %d steps ended as stated (%s)\n", path, len(trace.Steps), trace.Header.Trace)
	return nil
}
