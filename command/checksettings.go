package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/settings"
)

type checkSettingsCommand struct {
	*output
	kind string
}

func (*checkSettingsCommand) Name() string     { return "check-settings" }
func (*checkSettingsCommand) Synopsis() string { return "check settings without starting anything" }
func (*checkSettingsCommand) Usage() string {
	return "check-settings -kind entry|standin|catalog FILE...\n  Check the files and name every fault.\n"
}

func (c *checkSettingsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "entry", "what the files hold: entry, standin or catalog")
}

func (c *checkSettingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	check, ok := settingsCheckers[c.kind]
	if !ok {
		return c.usage("-kind must be entry, standin or catalog, not %q", c.kind)
	}
	if f.NArg() == 0 {
		return c.usage("check-settings needs at least one file")
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := check(path); err != nil {
			status = c.fail(err)
			continue
		}
		fmt.Fprintln(c.stdout, path+": ok")
	}
	return status
}

// settingsCheckers checks a file by the kind of its content.
var settingsCheckers = map[string]func(path string) error{
	"entry":   func(path string) error { _, err := settings.LoadEntry(path); return err },
	"standin": func(path string) error { _, err := settings.LoadStandin(path); return err },
	"catalog": func(path string) error { _, err := settings.LoadCatalog(path); return err },
}
