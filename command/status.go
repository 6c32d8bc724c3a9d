package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
)

type statusCommand struct {
	operatorCommand
	watch   watch
	watched bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show an entry's view of the system" }
func (*statusCommand) Usage() string {
	return "status [-watch [-every T] [-for T]]\n  Show entries, teams and pools as one entry sees them.\n" +
		"  With -watch, show the teams over all entries, the pools and the waves again\n" +
		"  and again until a signal ends it; with -json one JSON object per look.\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.BoolVar(&c.watched, "watch", false, "look again and again")
	c.watch.setFlags(f)
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.watched {
		return c.watchSystem(ctx)
	}
	status, err := c.client().Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(status))
	}
	return c.done(c.print(status))
}

// watchSystem shows one overview after the other.
func (c *statusCommand) watchSystem(ctx context.Context) subcommands.ExitStatus {
	if err := c.watch.check(); err != nil {
		return c.usage("%s", err.Error())
	}
	var last *overview
	return c.done(c.watch.run(ctx, c.report, func(ctx context.Context) error {
		next, err := c.look(ctx, last)
		if err != nil {
			return err
		}
		last = next
		return c.show(next)
	}))
}

func (c *statusCommand) show(o *overview) error {
	if c.json {
		return json.NewEncoder(c.stdout).Encode(o)
	}
	if isTerminal(c.stdout) {
		fmt.Fprint(c.stdout, clearScreen)
	}
	err := o.print(c.stdout)
	fmt.Fprintln(c.stdout)
	return err
}

func (c *statusCommand) print(s api.Status) error {
	fmt.Fprintf(c.stdout, "entry %s, offset %d, configuration current: %t (%d ms old), %d requests in flight, %d starts unsettled\n\n",
		s.Incarnation, s.Offset, s.Current, s.ControlAgeMS, s.Inflight, s.Unsettled)
	table := c.table()
	fmt.Fprintln(table, "ENTRY\tAVAILABILITY ZONE\tREACHABLE\tAPPLIED\tCALLERS")
	for _, e := range s.Entries {
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\n", e.Incarnation, e.AvailabilityZone, e.Reachable, e.Applied, e.ClientAddress)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "TEAM\tRUNNING HERE\tALLOTTED HERE")
	for _, team := range slices.Sorted(maps.Keys(s.Teams)) {
		fmt.Fprintf(table, "%s\t%d\t%d\n", team, s.Teams[team].Running, s.Teams[team].Allotted)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "POOL\tVMS")
	for _, pool := range slices.Sorted(maps.Keys(s.Pools)) {
		fmt.Fprintf(table, "%s\t%d\n", pool, s.Pools[pool])
	}
	return table.Flush()
}
