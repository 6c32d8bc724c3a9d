package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/timeline"
)

type timelineCommand struct {
	operatorCommand
	filter timeline.Filter
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "show the events of all entries in one order" }
func (*timelineCommand) Usage() string {
	return "timeline [-team T] [-vm V] [-request R] [-wave W]\n  Show the latest events of every entry that answers.\n"
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.filter.Team, "team", "", "only events of this team")
	f.StringVar(&c.filter.VM, "vm", "", "only events of this VM")
	f.StringVar(&c.filter.Request, "request", "", "only events of this request")
	f.StringVar(&c.filter.Wave, "wave", "", "only events of this maintenance wave")
}

func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	status, err := c.client().Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	var rings [][]timeline.Event
	for _, entry := range status.Entries {
		client := api.NewClient("http://"+entry.Operators, os.Getenv(keyVariable), &http.Client{Timeout: operatorTimeout})
		answer, err := client.Timeline(ctx, c.filter)
		if err != nil {
			fmt.Fprintf(c.stderr, "entry %s does not answer: %v\n", entry.Incarnation, err)
			continue
		}
		rings = append(rings, answer.Events)
	}
	events := timeline.Merge(rings...)
	if c.json {
		return c.done(c.printJSON(events))
	}
	table := c.table()
	fmt.Fprintln(table, "TIME\tENTRY\tOFFSET\tEVENT\tTEAM\tVM\tREQUEST\tWAVE\tDETAIL")
	for _, e := range events {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			time.UnixMicro(e.AtUS).UTC().Format("15:04:05.000000"), e.Entry, e.Offset, e.Kind, e.Team, e.VM, e.Request, e.Wave, e.Detail)
	}
	return c.done(table.Flush())
}
