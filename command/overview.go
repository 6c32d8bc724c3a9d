package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// overview is one look at the whole system: the teams over all entries that
// answer, the pools and the waves.
type overview struct {
	At time.Time `json:"at"`
	// Entries is the number of entries, Answering that of those that answered.
	Entries   int `json:"entries"`
	Answering int `json:"answering"`
	// Current is the number of entries whose configuration is current.
	Current   int              `json:"current"`
	Inflight  int              `json:"inflight"`
	Unsettled int              `json:"unsettled"`
	Teams     []teamOverview   `json:"teams"`
	Pools     []poolOverview   `json:"pools"`
	Waves     []api.WaveStatus `json:"waves"`
}

// teamOverview is one team's line. The rates are those since the look before.
type teamOverview struct {
	Team     string `json:"team"`
	Limit    int    `json:"limit"`
	Allotted int    `json:"allotted"`
	Running  int    `json:"running"`
	// StartsPerSecond counts attempts to start work, RefusedPerSecond those that
	// found the team at its limit.
	StartsPerSecond  float64 `json:"starts_per_second"`
	RefusedPerSecond float64 `json:"refused_per_second"`

	demand, refused int64
}

// poolOverview counts the VMs of a pool.
type poolOverview struct {
	Pool        string `json:"pool"`
	VMs         int    `json:"vms"`
	InService   int    `json:"in_service"`
	Maintenance int    `json:"maintenance"`
	Failed      int    `json:"failed"`
}

// add adds what one entry answered.
func (o *overview) add(s api.Status, teams map[string]*teamOverview) {
	o.Answering++
	o.Inflight += s.Inflight
	o.Unsettled += s.Unsettled
	if s.Current {
		o.Current++
	}
	for name, usage := range s.Teams {
		team, ok := teams[name]
		if !ok {
			team = &teamOverview{Team: name}
			teams[name] = team
		}
		team.Allotted += usage.Allotted
		team.Running += usage.Running
		team.demand += usage.Demand
		team.refused += usage.Refused
	}
}

// finish orders the teams and computes their rates since the look before, if
// the same entries answered.
func (o *overview) finish(teams map[string]*teamOverview, before *overview) {
	earlier := make(map[string]teamOverview)
	if before != nil && before.Answering == o.Answering {
		for _, team := range before.Teams {
			earlier[team.Team] = team
		}
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		team := *teams[name]
		if last, ok := earlier[name]; ok {
			seconds := o.At.Sub(before.At).Seconds()
			team.StartsPerSecond = max(0, float64(team.demand-last.demand)/seconds)
			team.RefusedPerSecond = max(0, float64(team.refused-last.refused)/seconds)
		}
		o.Teams = append(o.Teams, team)
	}
}

// countPools sums the VMs up by pool.
func countPools(vms []statemachine.VM) []poolOverview {
	pools := make(map[string]*poolOverview)
	for i := range vms {
		vm := &vms[i]
		pool, ok := pools[vm.Pool]
		if !ok {
			pool = &poolOverview{Pool: vm.Pool}
			pools[vm.Pool] = pool
		}
		pool.VMs++
		switch {
		case vm.Condition != statemachine.ConditionHealthy:
			pool.Failed++
		case vm.Available():
			pool.InService++
		default:
			pool.Maintenance++
		}
	}
	var out []poolOverview
	for _, pool := range pools {
		out = append(out, *pool)
	}
	slices.SortFunc(out, func(a, b poolOverview) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// look collects an overview through the command's entry. Entries that do not
// answer are left out.
func (c *operatorCommand) look(ctx context.Context, before *overview) (*overview, error) {
	status, err := c.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &overview{At: time.Now(), Entries: len(status.Entries)}
	teams := make(map[string]*teamOverview)
	for _, entry := range status.Entries {
		answer, err := c.clientAt("http://" + entry.OperatorAddress).Status(ctx)
		if err == nil {
			out.add(answer, teams)
		}
	}
	out.finish(teams, before)
	return out, c.lookAtFleet(ctx, out)
}

// lookAtFleet adds what the configuration says: limits, pools and waves.
func (c *operatorCommand) lookAtFleet(ctx context.Context, out *overview) error {
	var workspaces []statemachine.Workspace
	if err := c.client().Get(ctx, "/v1/workspaces", &workspaces); err != nil {
		return err
	}
	for _, w := range workspaces {
		for i := range out.Teams {
			if out.Teams[i].Team == w.Team {
				out.Teams[i].Limit = w.Limit
			}
		}
	}
	var vms []statemachine.VM
	if err := c.client().Get(ctx, "/v1/vms", &vms); err != nil {
		return err
	}
	out.Pools = countPools(vms)
	waves, err := c.client().Waves(ctx)
	out.Waves = waves
	return err
}

// print writes the overview as tables.
func (o *overview) print(w io.Writer) error {
	fmt.Fprintf(w, "%s UTC  entries %d of %d answer, %d current  in flight %d  unsettled %d\n\n",
		o.At.UTC().Format(time.TimeOnly), o.Answering, o.Entries, o.Current, o.Inflight, o.Unsettled)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "TEAM\tRUNNING\tALLOTTED\tLIMIT\tSTARTS\tAT LIMIT\t")
	for _, t := range o.Teams {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.0f /s\t%.0f /s\t\n", t.Team, t.Running, t.Allotted, t.Limit, t.StartsPerSecond, t.RefusedPerSecond)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "POOL\tVMS\tIN SERVICE\tMAINTENANCE\tFAILED\t")
	for _, p := range o.Pools {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t\n", p.Pool, p.VMs, p.InService, p.Maintenance, p.Failed)
	}
	if err := table.Flush(); err != nil || len(o.Waves) == 0 {
		return err
	}
	fmt.Fprintln(w)
	return printWaves(w, o.Waves)
}
