package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type keyCommand struct {
	operatorCommand
	label string
}

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "grant, withdraw or list callers' keys" }
func (*keyCommand) Usage() string {
	return "key [-label TEXT] grant WORKSPACE | withdraw HASH | list\n  Flags come before the verb. A key is shown only when it is granted.\n"
}

func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.label, "label", "", "what the key is for")
}

func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.Arg(0) == "grant" && f.Arg(1) != "":
		return c.grant(ctx, f.Arg(1))
	case f.Arg(0) == "withdraw" && f.Arg(1) != "":
		accepted, err := c.client().WithdrawKey(ctx, f.Arg(1))
		if err != nil {
			return c.fail(err)
		}
		return c.accepted(accepted)
	case f.Arg(0) == "list":
		return c.list(ctx)
	default:
		return c.usage("key takes grant WORKSPACE, withdraw HASH or list")
	}
}

func (c *keyCommand) grant(ctx context.Context, workspace string) subcommands.ExitStatus {
	granted, err := c.client().GrantKey(ctx, api.KeyGrantRequest{Workspace: workspace, Label: c.label})
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(granted))
	}
	fmt.Fprintf(c.stdout, "key   %s\nhash  %s\n", granted.Key, granted.Hash)
	return c.accepted(granted.Accepted)
}

func (c *keyCommand) list(ctx context.Context) subcommands.ExitStatus {
	var list []statemachine.Key
	if err := c.client().Get(ctx, "/v1/keys", &list); err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(list))
	}
	table := c.table()
	fmt.Fprintln(table, "HASH\tWORKSPACE\tSTATE\tLABEL")
	for _, k := range list {
		state := "in force"
		if k.Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", k.Hash, k.Workspace, state, k.Label)
	}
	return c.done(table.Flush())
}
