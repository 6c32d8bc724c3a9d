package command

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
)

type statusCommand struct{ operatorCommand }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show an entry's view of the system" }
func (*statusCommand) Usage() string {
	return "status\n  Show entries, teams and pools as one entry sees them.\n"
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	status, err := c.client().Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(status))
	}
	return c.done(c.print(status))
}

func (c *statusCommand) print(s api.Status) error {
	fmt.Fprintf(c.stdout, "entry %s, offset %d, configuration current: %t (%d ms old), %d requests in flight, %d starts unsettled\n\n",
		s.Incarnation, s.Offset, s.Current, s.ControlAgeMS, s.Inflight, s.Unsettled)
	table := c.table()
	fmt.Fprintln(table, "ENTRY\tAVAILABILITY ZONE\tREACHABLE\tAPPLIED\tCALLERS")
	for _, e := range s.Entries {
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\n", e.Incarnation, e.AvailabilityZone, e.Reachable, e.Applied, e.Callers)
	}
	fmt.Fprintln(table, "\t\t\t\t")
	fmt.Fprintln(table, "TEAM\tRUNNING HERE\tALLOTTED HERE\t\t")
	for _, team := range slices.Sorted(maps.Keys(s.Teams)) {
		fmt.Fprintf(table, "%s\t%d\t%d\t\t\n", team, s.Teams[team].Running, s.Teams[team].Allotted)
	}
	return table.Flush()
}
