package command

import (
	"context"
	"flag"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/entry"
	"github.com/anvilcourse/anvilcourse/settings"
)

type entryCommand struct {
	*output
	path string
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run the daemon of an entry VM" }
func (*entryCommand) Usage() string {
	return "entry -settings FILE\n  Run the daemon until SIGTERM or SIGINT, then stop without cutting a request.\n"
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "`file` with the entry's settings in JSON")
}

func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" {
		return c.usage("entry needs -settings FILE")
	}
	s, err := settings.LoadEntry(c.path)
	if err != nil {
		return c.fail(err)
	}
	tuned, cancelTuning := context.WithCancel(ctx)
	defer cancelTuning()
	go runCollectorTarget(tuned)
	app := entry.New(s)
	if err := app.Start(ctx); err != nil {
		return c.fail(err)
	}
	var shutdown fx.ShutdownSignal
	select {
	case <-ctx.Done():
	case shutdown = <-app.Wait():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return c.fail(err)
	}
	if shutdown.ExitCode != 0 {
		return c.fail(errors.New("the entry was removed from the membership; start it anew"))
	}
	return subcommands.ExitSuccess
}
