package command

import (
	"context"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/load"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const loadConnections = 1024

type loadCommand struct {
	operatorCommand
	cfg    load.Config
	plot   string
	record string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive the demand of a catalog's teams and report" }
func (*loadCommand) Usage() string {
	return "load [flags] CATALOG\n  Send requests, orders and jobs of every team through every entry, with keys\n" +
		"  granted for the run. Exits with 1 if a promise broke. An interrupted run\n  reports what there is.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.Float64Var(&c.cfg.Rate, "rate", 100, "mean requests per second over all teams, up to 50000")
	f.DurationVar(&c.cfg.Duration, "duration", 10*time.Second, "time to send for, up to 10m")
	f.IntVar(&c.cfg.MaxRequests, "max", 100000, "number of requests and jobs to send at most")
	f.DurationVar(&c.cfg.MeanRunTime, "work", 50*time.Millisecond, "mean run time of a request; single ones are ten-fold apart")
	f.DurationVar(&c.cfg.Timeout, "timeout", 2*time.Second, "patience of the callers, up to 1m")
	f.Float64Var(&c.cfg.OrderFraction, "orders", 0, "part of the requests that are orders, from 0 to 1")
	f.Float64Var(&c.cfg.RepeatFraction, "repeats", 0, "part of the orders that are sent twice at once, from 0 to 1")
	f.BoolVar(&c.cfg.Steady, "steady", false, "keep the demand steady; otherwise it rotates five-fold")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of arrivals and run times")
	c.setJobFlags(f)
	c.setReportFlags(f)
}

func (c *loadCommand) setJobFlags(f *flag.FlagSet) {
	f.Float64Var(&c.cfg.JobRate, "jobs", 0, "mean jobs per second over all teams, up to 1000")
	f.Float64Var(&c.cfg.AtMostOnceFraction, "jobs-once", 0.5, "part of the jobs that run at most once, if the template has job queues of both kinds")
	f.DurationVar(&c.cfg.MeanJobRunTime, "job-work", 2*time.Second, "mean run time of a job; single ones are ten-fold apart")
	f.DurationVar(&c.cfg.JobTimeout, "job-wait", time.Minute, "time in which an accepted job must end, up to 10m")
	f.Float64Var(&c.cfg.CancelFraction, "cancel", 0, "part of the jobs that are cancelled, from 0 to 1")
	f.DurationVar(&c.cfg.CancelInterval, "cancel-every", 0, "send all due cancellations at once at this interval; 0 sends each when it is due")
}

func (c *loadCommand) setReportFlags(f *flag.FlagSet) {
	f.DurationVar(&c.cfg.ProgressInterval, "progress", time.Second, "interval of the lines of progress on standard error; 0 or -json for none")
	f.StringVar(&c.record, "record", "", "base `URL` of the stand-in, to check starts against the workers' own record")
	f.StringVar(&c.plot, "plot", "", "write the slots in use by team to this `file`, as SVG, or with the report if it ends in .html")
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
	if broken := report.Violations(); broken > 0 {
		return c.fail(errors.Newf("promises broke in %d cases", broken))
	}
	return subcommands.ExitSuccess
}

// check refuses flags outside their bounds.
func (c *loadCommand) check() error {
	if c.cfg.ProgressInterval < 0 {
		return errors.Newf("-progress is %s; it must be 0 or more", c.cfg.ProgressInterval)
	}
	return c.cfg.Validate()
}

func (c *loadCommand) run(ctx context.Context, catalog settings.Catalog) (*load.Report, error) {
	var vms []statemachine.VM
	if err := c.client().Get(ctx, "/v1/vms", &vms); err != nil {
		return nil, errors.Wrap(err, "read the VMs")
	}
	cfg := c.cfg
	cfg.Operator = c.client()
	cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}
	cfg.Catalog = catalog
	cfg.Capacity = slotsOf(vms, catalog.Template.Pools)
	if c.record != "" {
		cfg.ReadStartCounts = c.starts
	}
	if !c.json && cfg.ProgressInterval > 0 {
		load.PrintProgressHeader(c.stderr)
		cfg.Progress = func(p load.Progress) { p.Print(c.stderr) }
	}
	return load.Run(ctx, cfg)
}

// starts reads the workers' own account of starts by task.
func (c *loadCommand) starts() (map[string]int, error) {
	client := api.NewClient(c.record, "", &http.Client{Timeout: operatorTimeout})
	var record standin.ExecutionRecord
	err := client.Get(context.Background(), "/v1/record", &record)
	return record.Starts, err
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
	write := report.WriteSVG
	if filepath.Ext(c.plot) == ".html" {
		write = report.WriteHTML
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
