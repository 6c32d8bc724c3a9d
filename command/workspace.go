package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type workspaceCommand struct {
	operatorCommand
	version uint64
}

func (*workspaceCommand) Name() string     { return "workspace" }
func (*workspaceCommand) Synopsis() string { return "set or show workspaces" }
func (*workspaceCommand) Usage() string {
	return "workspace [-version N] set FILE | show [NAME]\n  Flags come before the verb. Without -version the workspace is created.\n"
}

func (c *workspaceCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.Uint64Var(&c.version, "version", 0, "the version to change")
}

func (c *workspaceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.Arg(0) == "set" && f.Arg(1) != "":
		return c.set(ctx, f.Arg(1))
	case f.Arg(0) == "show":
		return c.show(ctx, f.Arg(1))
	default:
		return c.usage("workspace takes set FILE or show [NAME]")
	}
}

func (c *workspaceCommand) set(ctx context.Context, path string) subcommands.ExitStatus {
	raw, err := os.ReadFile(path)
	if err != nil {
		return c.fail(err)
	}
	var workspace statemachine.Workspace
	if err := settings.Decode(raw, &workspace); err != nil {
		return c.fail(err)
	}
	accepted, err := c.client().SetWorkspace(ctx, workspace, c.version)
	if err != nil {
		return c.fail(err)
	}
	return c.accepted(accepted)
}

func (c *workspaceCommand) show(ctx context.Context, name string) subcommands.ExitStatus {
	list, err := shown[statemachine.Workspace](ctx, c.client(), "/v1/workspaces", name)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(printShown(&c.operatorCommand, name, list))
	}
	table := c.table()
	fmt.Fprintln(table, "WORKSPACE\tVERSION\tTEMPLATE\tTEAM\tSHARE\tLIMIT\tOPEN QUEUES")
	for _, w := range list {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%.1f %%\t%d\t%s\n", w.Name, w.Version, w.Template, w.Team,
			float64(w.SharePermille)/10, w.Limit, strings.Join(w.PublicQueues, " "))
	}
	return c.done(table.Flush())
}
