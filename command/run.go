package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// io of a command, so that tests can capture it.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// Run runs the command that the arguments name and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("anvilcourse", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "anvilcourse")
	commander.Output = stdout
	commander.Error = stderr
	register(commander, &output{stdout: stdout, stderr: stderr})
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

func register(c *subcommands.Commander, out *output) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&entryCommand{output: out}, "daemons")
	c.Register(&fleetEntryCommand{output: out}, "daemons")
	c.Register(&standinCommand{output: out}, "daemons")
	c.Register(&demoCommand{output: out}, "trying out")
	c.Register(&checkSettingsCommand{output: out}, "settings")
	c.Register(&checkConfigCommand{output: out}, "settings")
	c.Register(&replayCommand{output: out}, "trying out")
	c.Register(&versionCommand{output: out}, "")
	c.Register(&applyCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&templateCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&workspaceCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&keyCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&poolCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&vmCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&memberCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&waveCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&loadCommand{operatorCommand: operatorCommand{output: out}}, "trying out")
	c.Register(&statusCommand{operatorCommand: operatorCommand{output: out}}, "operating")
	c.Register(&timelineCommand{operatorCommand: operatorCommand{output: out}}, "operating")
}

// report prints an error that does not end the command.
func (o *output) report(err error) {
	fmt.Fprintln(o.stderr, "anvilcourse: "+err.Error())
}

// fail prints the error and returns the failure code.
func (o *output) fail(err error) subcommands.ExitStatus {
	o.report(err)
	return subcommands.ExitFailure
}

// usage prints what is wrong with the arguments and returns the usage code.
func (o *output) usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.stderr, "anvilcourse: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
