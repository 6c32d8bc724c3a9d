package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type templateCommand struct {
	operatorCommand
	version uint64
}

func (*templateCommand) Name() string     { return "template" }
func (*templateCommand) Synopsis() string { return "publish, amend or show templates" }
func (*templateCommand) Usage() string {
	return "template publish FILE | -version N amend FILE | show [NAME]\n  Flags come before the verb.\n"
}

func (c *templateCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.Uint64Var(&c.version, "version", 0, "the version to amend")
}

func (c *templateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, arg := f.Arg(0), f.Arg(1)
	switch {
	case verb == "publish" && arg != "":
		return c.set(ctx, arg, 0)
	case verb == "amend" && arg != "":
		if c.version == 0 {
			return c.usage("template amend needs -version, the version to amend")
		}
		return c.set(ctx, arg, c.version)
	case verb == "show":
		return c.show(ctx, arg)
	default:
		return c.usage("template takes publish FILE, amend FILE or show [NAME]")
	}
}

func (c *templateCommand) set(ctx context.Context, path string, version uint64) subcommands.ExitStatus {
	raw, err := os.ReadFile(path)
	if err != nil {
		return c.fail(err)
	}
	var template statemachine.Template
	if err := settings.Decode(raw, &template); err != nil {
		return c.fail(err)
	}
	accepted, err := c.client().SetTemplate(ctx, template, version)
	if err != nil {
		return c.fail(err)
	}
	return c.accepted(accepted)
}

func (c *templateCommand) show(ctx context.Context, name string) subcommands.ExitStatus {
	list, err := shown[statemachine.Template](ctx, c.client(), "/v1/templates", name)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(printShown(&c.operatorCommand, name, list))
	}
	table := c.table()
	fmt.Fprintln(table, "TEMPLATE\tVERSION\tQUEUE\tCLASS\tIDEMPOTENT\tTIMEOUT")
	for _, t := range list {
		for _, q := range t.Queues {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%t\t%d ms\n", t.Name, t.Version, q.Name, q.Class, !q.RunsAtMostOnce(), q.TimeoutMS)
		}
	}
	return c.done(table.Flush())
}
