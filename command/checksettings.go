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
	kind      string
	reference bool
}

func (*checkSettingsCommand) Name() string     { return "check-settings" }
func (*checkSettingsCommand) Synopsis() string { return "check settings without starting anything" }
func (*checkSettingsCommand) Usage() string {
	return `check-settings -kind entry|fleet-entry|standin|catalog FILE...
  Check the files and name every fault.
check-settings -reference -kind entry|fleet-entry|standin
  Print a table of the settings in Markdown.
`
}

func (c *checkSettingsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "entry", "what the files hold: entry, fleet-entry, standin or catalog")
	f.BoolVar(&c.reference, "reference", false, "print a table of the settings")
}

func (c *checkSettingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.reference {
		return c.printReference()
	}
	check, ok := settingsCheckers[c.kind]
	if !ok {
		return c.usage("-kind must be entry, fleet-entry, standin or catalog, not %q", c.kind)
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

func (c *checkSettingsCommand) printReference() subcommands.ExitStatus {
	var defaults any
	switch c.kind {
	case "entry":
		defaults = settings.DefaultEntry()
	case "fleet-entry":
		defaults = settings.DefaultFleetEntry()
	case "standin":
		defaults = settings.DefaultStandin()
	default:
		return c.usage("-reference takes -kind entry, fleet-entry or standin, not %q", c.kind)
	}
	if err := settings.WriteReference(c.stdout, defaults); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// settingsCheckers checks a file by the kind of its content.
var settingsCheckers = map[string]func(path string) error{
	"entry":       func(path string) error { _, err := settings.LoadEntry(path); return err },
	"fleet-entry": func(path string) error { _, err := settings.LoadFleetEntry(path); return err },
	"standin":     func(path string) error { _, err := settings.LoadStandin(path); return err },
	"catalog":     func(path string) error { _, err := settings.LoadCatalog(path); return err },
}
