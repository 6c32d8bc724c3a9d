package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/timeline"
)

type timelineCommand struct {
	operatorCommand
	filter timeline.Filter
	watch  watch
	follow bool
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "show the events of all entries in one order" }
func (*timelineCommand) Usage() string {
	return "timeline [-team T] [-vm V] [-request R] [-wave W] [-follow [-every T] [-for T]]\n" +
		"  Show the latest events of every entry that answers. With -follow, go on with\n" +
		"  new ones until a signal ends it; with -json one JSON object per event.\n"
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.filter.Team, "team", "", "only events of this team")
	f.StringVar(&c.filter.VM, "vm", "", "only events of this VM")
	f.StringVar(&c.filter.Request, "request", "", "only events of this request")
	f.StringVar(&c.filter.Wave, "wave", "", "only events of this maintenance wave")
	f.BoolVar(&c.follow, "follow", false, "go on with new events")
	c.watch.setFlags(f)
}

func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.follow {
		return c.followEvents(ctx)
	}
	events, err := c.events(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.done(c.printJSON(events))
	}
	table := c.table()
	fmt.Fprintln(table, "TIME\tENTRY\tOFFSET\tEVENT\tTEAM\tVM\tREQUEST\tWAVE\tDETAIL")
	for _, e := range events {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			timeOf(e), e.Entry, e.Offset, e.Kind, e.Team, e.VM, e.Request, e.Wave, e.Detail)
	}
	return c.done(table.Flush())
}

func timeOf(e timeline.Event) string {
	return time.UnixMicro(e.AtUS).UTC().Format("15:04:05.000000")
}

// events reads the events of every entry that answers, in one order.
func (c *timelineCommand) events(ctx context.Context) ([]timeline.Event, error) {
	status, err := c.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	var rings [][]timeline.Event
	for _, entry := range status.Entries {
		answer, err := c.clientAt("http://"+entry.OperatorAddress).Timeline(ctx, c.filter)
		if err != nil && ctx.Err() == nil {
			fmt.Fprintf(c.stderr, "entry %s does not answer: %v\n", entry.Incarnation, err)
		}
		rings = append(rings, answer.Events)
	}
	return timeline.Merge(rings...), nil
}

// followEvents shows the events that are new at each look.
func (c *timelineCommand) followEvents(ctx context.Context) subcommands.ExitStatus {
	if err := c.watch.check(); err != nil {
		return c.usage("%s", err.Error())
	}
	if !c.json {
		fmt.Fprintf(c.stdout, followFormat, "TIME", "ENTRY", "OFFSET", "EVENT", "TEAM", "VM", "WAVE", "REQUEST", "DETAIL")
	}
	var seen timeline.Cursor
	return c.done(c.watch.run(ctx, c.report, func(ctx context.Context) error {
		events, err := c.events(ctx)
		if err != nil {
			return err
		}
		return c.showEvents(seen.Next(events))
	}))
}

// followFormat aligns lines whose widths are not known beforehand.
const followFormat = "%-15s  %-18s  %7v  %-24s  %-16s  %-8s  %-12s  %s  %s\n"

func (c *timelineCommand) showEvents(events []timeline.Event) error {
	encoder := json.NewEncoder(c.stdout)
	for _, e := range events {
		if c.json {
			if err := encoder.Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(c.stdout, followFormat, timeOf(e), e.Entry, e.Offset, e.Kind, e.Team, e.VM, e.Wave, e.Request, e.Detail)
	}
	return nil
}
