package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
)

type memberCommand struct {
	operatorCommand
	by     string
	reason string
}

func (*memberCommand) Name() string     { return "member" }
func (*memberCommand) Synopsis() string { return "list entries or state that a removed one is gone" }
func (*memberCommand) Usage() string {
	return "member list | gone -by NAME -reason TEXT INCARNATION\n" +
		"  Flags come before the verb. State it only of an entry whose VM is deleted or whose process is known to have ended:\n" +
		"  its parts of the upper limits are given to the others.\n"
}

func (c *memberCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.by, "by", "", "the operator's name, for the record")
	f.StringVar(&c.reason, "reason", "", "how the operator knows that the entry is gone, for the record")
}

func (c *memberCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.Arg(0) == "list":
		return c.list(ctx)
	case f.Arg(0) == "gone" && f.Arg(1) != "" && c.by != "" && c.reason != "":
		accepted, err := c.client().EntryGone(ctx, f.Arg(1), api.EntryGoneRequest{By: c.by, Reason: c.reason})
		if err != nil {
			return c.fail(err)
		}
		return c.accepted(accepted)
	default:
		return c.usage("member takes list or gone INCARNATION with -by and -reason before the verb")
	}
}

func (c *memberCommand) list(ctx context.Context) subcommands.ExitStatus {
	entries, err := c.client().Entries(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(entries))
	}
	table := c.table()
	fmt.Fprintln(table, "ENTRY\tSTATE\tREACHABLE\tSTATED GONE BY\tREASON")
	for _, e := range entries {
		by, reason := "", ""
		if e.RemovalConfirmation != nil {
			by, reason = e.RemovalConfirmation.By, e.RemovalConfirmation.Reason
		}
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%s\n", e.Incarnation, e.State, e.Reachable, by, reason)
	}
	return c.done(table.Flush())
}
