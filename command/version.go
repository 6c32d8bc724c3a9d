package command

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Version is the release of the binary.
const Version = "0.1.0"

type versionCommand struct{ *output }

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n  Print the version of the binary.\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.stdout, "anvilcourse %s (%s, log schema %d)\n", Version, runtime.Version(), statemachine.SchemaVersion)
	return subcommands.ExitSuccess
}
