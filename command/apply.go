package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

type applyCommand struct{ operatorCommand }

func (*applyCommand) Name() string { return "apply" }
func (*applyCommand) Synopsis() string {
	return "publish the pools, template and workspaces of a catalog"
}
func (*applyCommand) Usage() string {
	return "apply CATALOG\n  Publish what the catalog holds. What exists is amended at its present version.\n"
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("apply needs one catalog")
	}
	catalog, err := settings.LoadCatalog(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	offset, err := applyCatalog(ctx, c.client(), catalog)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, "applied up to offset %d\n", offset)
	return subcommands.ExitSuccess
}

// applyCatalog publishes the catalog and returns the offset of its last part.
func applyCatalog(ctx context.Context, client *api.Client, catalog settings.Catalog) (uint64, error) {
	var last api.Accepted
	for _, pool := range catalog.Pools {
		version, err := versionOf(ctx, client, "/v1/pools/"+pool.Name)
		if err != nil {
			return 0, err
		}
		if last, err = client.SetPool(ctx, pool, version); err != nil {
			return 0, errors.Wrapf(err, "pool %s", pool.Name)
		}
	}
	version, err := versionOf(ctx, client, "/v1/templates/"+catalog.Template.Name)
	if err != nil {
		return 0, err
	}
	if last, err = client.SetTemplate(ctx, catalog.Template, version); err != nil {
		return 0, errors.Wrapf(err, "template %s", catalog.Template.Name)
	}
	for _, workspace := range catalog.Workspaces {
		if last, err = applyWorkspace(ctx, client, workspace); err != nil {
			return 0, errors.Wrapf(err, "workspace %s", workspace.Name)
		}
	}
	return last.Offset, nil
}

func applyWorkspace(ctx context.Context, client *api.Client, w statemachine.Workspace) (api.Accepted, error) {
	version, err := versionOf(ctx, client, "/v1/workspaces/"+w.Name)
	if err != nil {
		return api.Accepted{}, err
	}
	return client.SetWorkspace(ctx, w, version)
}

// versionOf returns the version of the resource, or 0 if there is none.
func versionOf(ctx context.Context, client *api.Client, path string) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := client.Get(ctx, path, &out)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Status == 404 {
		return 0, nil
	}
	return out.Version, err
}
