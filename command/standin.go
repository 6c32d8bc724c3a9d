package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
)

type standinCommand struct {
	*output
	path string
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run the platform's stand-in, for tests" }
func (*standinCommand) Usage() string {
	return "standin [-settings FILE]\n  Run a log, workers and a VM list in one process until SIGTERM or SIGINT.\n"
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "`file` with the stand-in's settings in JSON")
}

func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := settings.DefaultStandin()
	if c.path != "" {
		loaded, err := settings.LoadStandin(c.path)
		if err != nil {
			return c.fail(err)
		}
		s = loaded
	}
	server, err := standin.Start(s)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintln(c.stdout, server.URL())
	<-ctx.Done()
	if err := server.Close(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}
