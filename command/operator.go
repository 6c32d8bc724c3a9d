package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
)

const (
	operatorTimeout = 15 * time.Second
	// keyVariable is the environment variable with the operator's key.
	keyVariable = "ANVILCOURSE_OPERATOR_KEY"
)

// operatorCommand is what the operators' commands have in common.
type operatorCommand struct {
	*output
	entry string
	json  bool
}

// SetFlags declares the common flags.
func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "http://127.0.0.1:7112", "base `URL` of an entry's operators' address")
	f.BoolVar(&c.json, "json", false, "print JSON for programs")
}

func (c *operatorCommand) client() *api.Client {
	return c.clientAt(c.entry)
}

// clientAt is a client for the operators' address of any entry.
func (*operatorCommand) clientAt(base string) *api.Client {
	return api.NewClient(base, os.Getenv(keyVariable), &http.Client{Timeout: operatorTimeout})
}

func (c *operatorCommand) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table starts a table with aligned columns. Flush prints it.
func (c *operatorCommand) table() *tabwriter.Writer {
	return tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
}

// accepted prints the acceptance of a change.
func (c *operatorCommand) accepted(a api.Accepted) subcommands.ExitStatus {
	if c.json {
		return c.done(c.printJSON(a))
	}
	if a.Detail != "" {
		fmt.Fprintf(c.stdout, "written at offset %d: %s\n", a.Offset, a.Detail)
		return subcommands.ExitSuccess
	}
	where := "not yet confirmed by every entry"
	if a.Applied {
		where = "in force at every entry"
	}
	fmt.Fprintf(c.stdout, "accepted at offset %d, %s\n", a.Offset, where)
	return subcommands.ExitSuccess
}

// done turns an error into the exit code.
func (c *operatorCommand) done(err error) subcommands.ExitStatus {
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}
