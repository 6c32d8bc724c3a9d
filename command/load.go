package command

import (
	"context"
	"flag"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/load"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	maxLoadDuration = 10 * time.Minute
	maxLoadRate     = 50000
	loadConnections = 1024
)

type loadCommand struct {
	operatorCommand
	cfg  load.Config
	plot string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive the demand of a catalog's teams and report" }
func (*loadCommand) Usage() string {
	return "load [flags] CATALOG\n  Send requests of every team through every entry, with keys granted for the run.\n" +
		"  Exits with 1 if an answer did not belong to its request.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.Float64Var(&c.cfg.Rate, "rate", 100, "mean requests per second over all teams, up to 50000")
	f.DurationVar(&c.cfg.Duration, "duration", 10*time.Second, "time to send for, up to 10m")
	f.IntVar(&c.cfg.MaxRequests, "max", 100000, "number of requests to send at most")
	f.DurationVar(&c.cfg.Work, "work", 50*time.Millisecond, "mean run time of a request; single ones are ten-fold apart")
	f.DurationVar(&c.cfg.Timeout, "timeout", 2*time.Second, "patience of the callers")
	f.Float64Var(&c.cfg.Orders, "orders", 0, "part of the requests that are orders, from 0 to 1")
	f.BoolVar(&c.cfg.Steady, "steady", false, "keep the demand steady; otherwise it rotates five-fold")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of arrivals and run times")
	f.StringVar(&c.plot, "plot", "", "write the slots in use by team as SVG to this `file`")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("load needs one catalog")
	}
	if err := c.check(); err != nil {
		return c.usage("%s", err.Error())
	}
	catalog, err := settings.LoadCatalog(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	report, err := c.run(ctx, catalog)
	if err != nil {
		return c.fail(err)
	}
	if err := c.print(report); err != nil {
		return c.fail(err)
	}
	if wrong := report.Wrong(); wrong > 0 {
		return c.fail(errors.Newf("%d answers did not belong to their requests", wrong))
	}
	return subcommands.ExitSuccess
}

// check refuses flags outside their bounds.
func (c *loadCommand) check() error {
	switch {
	case !(c.cfg.Rate > 0 && c.cfg.Rate <= maxLoadRate):
		return errors.Newf("-rate must be above 0 and up to %d", maxLoadRate)
	case c.cfg.Duration <= 0 || c.cfg.Duration > maxLoadDuration:
		return errors.Newf("-duration must be above 0 and up to %s", maxLoadDuration)
	case c.cfg.MaxRequests < 1:
		return errors.New("-max must be 1 or more")
	case c.cfg.Work <= 0 || c.cfg.Timeout <= 0:
		return errors.New("-work and -timeout must be above 0")
	case !(c.cfg.Orders >= 0 && c.cfg.Orders <= 1):
		return errors.New("-orders must be from 0 to 1")
	}
	return nil
}

func (c *loadCommand) run(ctx context.Context, catalog settings.Catalog) (*load.Report, error) {
	var vms []statemachine.VM
	if err := c.client().Get(ctx, "/v1/vms", &vms); err != nil {
		return nil, errors.Wrap(err, "read the VMs")
	}
	cfg := c.cfg
	cfg.Operator = api.NewClient(c.entry, os.Getenv(keyVariable), &http.Client{Timeout: operatorTimeout})
	cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}
	cfg.Catalog = catalog
	cfg.Capacity = slotsOf(vms, catalog.Template.Pools)
	return load.Run(ctx, cfg)
}

func slotsOf(vms []statemachine.VM, pools []string) int {
	slots := 0
	for _, vm := range vms {
		if slices.Contains(pools, vm.Pool) {
			slots += vm.Slots
		}
	}
	return slots
}

func (c *loadCommand) print(report *load.Report) error {
	if c.plot != "" {
		if err := c.writePlot(report); err != nil {
			return err
		}
	}
	if c.json {
		return c.printJSON(report)
	}
	return report.Print(c.stdout)
}

func (c *loadCommand) writePlot(report *load.Report) error {
	file, err := os.Create(c.plot)
	if err != nil {
		return err
	}
	if err := report.Plot(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
