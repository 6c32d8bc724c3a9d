package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/replay"
)

type replayCommand struct {
	*output
	platform string
	streams  string
	name     string
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "record a run's log as a trace, or replay traces" }
func (*replayCommand) Usage() string {
	return `replay TRACE...
  Replay traces into the decisions and name each step that ends otherwise than
  stated.
replay -record URL [-streams S,S] [-name TEXT]
  Read streams of the log at the platform's base URL and print them as a trace.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "record", "", "base `URL` of the platform whose log to record")
	f.StringVar(&c.streams, "streams", replay.ControlStream, "streams to record, separated by commas")
	f.StringVar(&c.name, "name", "", "name of the recorded trace")
}

func (c *replayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
	log := platform.NewHTTPLog(c.platform, platform.NewHTTPClient())
	trace, err := replay.Record(ctx, log, replay.Header{Trace: c.name}, strings.Split(c.streams, ","))
	if err != nil {
		return c.fail(err)
	}
	if err := trace.Write(c.stdout); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
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
