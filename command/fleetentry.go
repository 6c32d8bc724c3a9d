package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/fleetentry"
	"github.com/anvilcourse/anvilcourse/settings"
)

type fleetEntryCommand struct {
	*output
	path string
}

func (*fleetEntryCommand) Name() string { return "fleet-entry" }
func (*fleetEntryCommand) Synopsis() string {
	return "run the daemon of an entry on the users' platform"
}
func (*fleetEntryCommand) Usage() string {
	return "fleet-entry -settings FILE\n  Run the daemon until SIGTERM or SIGINT, then hand over and stop without cutting a request.\n"
}

func (c *fleetEntryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "`file` with the entry's settings in JSON")
}

func (c *fleetEntryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" {
		return c.usage("fleet-entry needs -settings FILE")
	}
	s, err := settings.LoadFleetEntry(c.path)
	if err != nil {
		return c.fail(err)
	}
	app := fleetentry.New(s)
	if err := app.Start(ctx); err != nil {
		return c.fail(err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-reload:
			c.checkReload(s)
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// checkReload tells what a changed settings file would change. Addresses and
// bounds hold for the life of the process; what operators change while it runs
// is in the manifest.
func (c *fleetEntryCommand) checkReload(running settings.FleetEntry) {
	s, err := settings.LoadFleetEntry(c.path)
	switch {
	case err != nil:
		c.report(err)
	case s != running:
		fmt.Fprintln(c.stdout, `{"@level":"warn","@message":"reload: the settings differ; they are in force from the next start on"}`)
	default:
		fmt.Fprintln(c.stdout, `{"@level":"info","@message":"reload: the settings are unchanged"}`)
	}
}
