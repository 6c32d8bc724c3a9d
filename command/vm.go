package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type vmCommand struct {
	operatorCommand
	from    string
	to      string
	version uint64
}

func (*vmCommand) Name() string     { return "vm" }
func (*vmCommand) Synopsis() string { return "list VMs or move one to another pool" }
func (*vmCommand) Usage() string {
	return "vm list | -from POOL -to POOL -version N move VM\n  Flags come before the verb.\n"
}

func (c *vmCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.from, "from", "", "the pool that the VM is in")
	f.StringVar(&c.to, "to", "", "the pool to move the VM to")
	f.Uint64Var(&c.version, "version", 0, "the VM's version, as listed")
}

func (c *vmCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.Arg(0) == "list":
		return c.list(ctx)
	case f.Arg(0) == "move" && f.Arg(1) != "":
		accepted, err := c.client().MoveVM(ctx, f.Arg(1), api.VMMoveRequest{From: c.from, To: c.to, Version: c.version})
		if err != nil {
			return c.fail(err)
		}
		return c.accepted(accepted)
	default:
		return c.usage("vm takes list or move VM")
	}
}

func (c *vmCommand) list(ctx context.Context) subcommands.ExitStatus {
	var list []statemachine.VM
	if err := c.client().Get(ctx, "/v1/vms", &list); err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(list))
	}
	table := c.table()
	fmt.Fprintln(table, "VM\tVERSION\tPOOL\tAVAILABILITY ZONE\tRACK\tSLOTS")
	for _, vm := range list {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\n", vm.ID, vm.Version, vm.Pool, vm.AvailabilityZone, vm.Rack, vm.Slots)
	}
	return c.done(table.Flush())
}
