package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/demo"
)

type demoCommand struct {
	*output
	json bool
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run the main job on this machine and check its promises"
}
func (*demoCommand) Usage() string {
	return "demo [-json]\n  Start the platform's stand-in and three entries, run the two users' work and print what was measured.\n  Fails if a promise broke.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON for programs")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := demo.Run(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		raw, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return c.fail(err)
		}
		fmt.Fprintln(c.stdout, string(raw))
	} else {
		report.Print(c.stdout)
	}
	if !report.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
