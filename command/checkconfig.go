package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/platform"
)

// checkConfigCommand checks a configuration before it is published.
type checkConfigCommand struct {
	*output
	against string
	json    bool
}

func (*checkConfigCommand) Name() string     { return "check-config" }
func (*checkConfigCommand) Synopsis() string { return "check a configuration before it is published" }
func (*checkConfigCommand) Usage() string {
	return `check-config FILE [-against FILE] [-json]
  Check a configuration for the fleet with the code that entries read it with, and name what
  it changes of the one in force. Exit codes: 0 without errors, 1 with errors, 2 if it
  cannot be checked.
`
}

func (c *checkConfigCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "the configuration in force")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// configReport is the result, in JSON as it stands.
type configReport struct {
	Findings    []platform.Finding    `json:"findings"`
	Differences []platform.Difference `json:"differences"`
}

func (c *checkConfigCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := f.Arg(0)
	// Flags may follow the file.
	if f.NArg() > 1 && f.Parse(f.Args()[1:]) != nil {
		return subcommands.ExitUsageError
	}
	if path == "" || f.NArg() > 1 || f.Arg(0) != path && f.NArg() == 1 {
		return c.usage("check-config needs one file")
	}
	report, err := c.check(path)
	if err != nil {
		c.report(err)
		return subcommands.ExitUsageError
	}
	if err := c.print(report); err != nil {
		c.report(err)
		return subcommands.ExitUsageError
	}
	for _, finding := range report.Findings {
		if finding.Level == platform.LevelError {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *checkConfigCommand) check(path string) (configReport, error) {
	report := configReport{Findings: []platform.Finding{}, Differences: []platform.Difference{}}
	raw, err := os.ReadFile(path)
	if err != nil {
		return report, errors.Wrap(err, "the configuration cannot be read")
	}
	report.Findings = append(report.Findings, platform.CheckManifest(raw)...)
	next, err := platform.DecodeManifest(raw)
	if err != nil || c.against == "" {
		// What cannot be decoded is a finding already.
		return report, nil
	}
	before, err := os.ReadFile(c.against)
	if err != nil {
		return report, errors.Wrap(err, "the configuration in force cannot be read")
	}
	inForce, err := platform.DecodeManifest(before)
	if err != nil {
		return report, errors.Wrap(err, c.against)
	}
	report.Differences = append(report.Differences, platform.DiffManifests(inForce, next)...)
	return report, nil
}

func (c *checkConfigCommand) print(report configReport) error {
	if c.json {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, f := range report.Findings {
		if _, err := fmt.Fprintf(c.stdout, "%s: %s: %s\n", f.Level, f.Path, f.Text); err != nil {
			return err
		}
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintf(c.stdout, "%s: %s\n", d.Effect, d.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c.stdout, "%d findings, %d differences\n", len(report.Findings), len(report.Differences))
	return err
}
