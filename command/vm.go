package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type vmCommand struct {
	operatorCommand
	from    string
	to      string
	version uint64
	message string
}

func (*vmCommand) Name() string { return "vm" }
func (*vmCommand) Synopsis() string {
	return "list VMs, move one to another pool, quarantine or release one"
}
func (*vmCommand) Usage() string {
	return "vm list | -from POOL -to POOL -version N move VM\n" +
		"   | -version N [-message TEXT] quarantine VM | -version N release VM\n  Flags come before the verb.\n"
}

func (c *vmCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.from, "from", "", "the pool that the VM is in")
	f.StringVar(&c.to, "to", "", "the pool to move the VM to")
	f.StringVar(&c.message, "message", "", "why the VM is put into quarantine")
	f.Uint64Var(&c.version, "version", 0, "the VM's version, as listed")
}

func (c *vmCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.Arg(0) == "list" {
		return c.list(ctx)
	}
	if f.Arg(1) == "" {
		return c.usage("vm takes list, or move, quarantine or release and a VM")
	}
	accepted, err := c.change(ctx, f.Arg(0), f.Arg(1))
	switch {
	case errors.Is(err, errUnknownVerb):
		return c.usage("vm takes list, move, quarantine or release")
	case err != nil:
		return c.fail(err)
	default:
		return c.accepted(accepted)
	}
}

// errUnknownVerb means that the command line names nothing to do with a VM.
var errUnknownVerb = errors.New("unknown verb")

func (c *vmCommand) change(ctx context.Context, verb, vm string) (api.Accepted, error) {
	switch verb {
	case "move":
		return c.client().MoveVM(ctx, vm, api.VMMoveRequest{From: c.from, To: c.to, Version: c.version})
	case "quarantine":
		return c.client().QuarantineVM(ctx, vm, api.VMQuarantineRequest{Version: c.version, Message: c.message})
	case "release":
		return c.client().ReleaseVM(ctx, vm, api.VMReleaseRequest{Version: c.version})
	default:
		return api.Accepted{}, errUnknownVerb
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
	fmt.Fprintln(table, "VM\tVERSION\tPOOL\tAVAILABILITY ZONE\tRACK\tSLOTS\tSTATE")
	for _, vm := range list {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\t%s\n", vm.ID, vm.Version, vm.Pool, vm.AvailabilityZone, vm.Rack, vm.Slots, vmState(&vm))
	}
	return c.done(table.Flush())
}

// vmState says for people whether the VM serves, and else why not.
func vmState(vm *statemachine.VM) string {
	switch {
	case vm.Condition != statemachine.ConditionHealthy:
		return string(vm.Condition)
	case vm.Maintenance.Step != statemachine.StepServing:
		return string(vm.Maintenance.Step)
	case vm.Quarantine != nil:
		return "quarantine: " + string(vm.Quarantine.Cause)
	default:
		return "serving"
	}
}
