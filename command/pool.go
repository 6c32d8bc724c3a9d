package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

type poolCommand struct{ operatorCommand }

func (*poolCommand) Name() string     { return "pool" }
func (*poolCommand) Synopsis() string { return "list pools" }
func (*poolCommand) Usage() string {
	return "pool list\n  List the pools with their VMs and budgets.\n"
}

func (c *poolCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.Arg(0) != "list" {
		return c.usage("pool takes list")
	}
	client := c.client()
	var list []statemachine.Pool
	if err := client.Get(ctx, "/v1/pools", &list); err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(list))
	}
	status, err := client.Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	table := c.table()
	fmt.Fprintln(table, "POOL\tVERSION\tVMS\tMAX UNAVAILABLE\tSPARE")
	for _, p := range list {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%t\n", p.Name, p.Version, status.Pools[p.Name], p.MaxUnavailable, p.Spare)
	}
	return c.done(table.Flush())
}
