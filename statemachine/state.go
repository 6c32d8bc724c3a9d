package statemachine

// State is the reduced state of one stream. It is immutable outside Apply,
// and its JSON form is the stream's snapshot.
type State struct {
	// NextOffset is the offset of the next payload to apply. It never decreases.
	NextOffset uint64 `json:"next"`
	// Writers holds the highest record number applied, by writer.
	Writers Table[WriterPosition] `json:"writers"`
	// PrunedThroughMS is the latest wall clock among the writers whose positions
	// were pruned, in Unix milliseconds.
	PrunedThroughMS int64 `json:"forgotten_ms"`

	Templates  Table[*Template]  `json:"templates"`
	Workspaces Table[*Workspace] `json:"workspaces"`
	// Keys are the clients' keys by their SHA-256 hash in hex.
	Keys  Table[*Key]  `json:"keys"`
	Pools Table[*Pool] `json:"pools"`
	VMs   Table[*VM]   `json:"vms"`
	// PoolUsage counts the VMs of each pool.
	PoolUsage Table[Usage] `json:"pool_usage"`
	// ZoneUsage counts the VMs of each availability zone.
	ZoneUsage Table[Usage] `json:"zone_usage"`
	// UnderMaintenance holds the VMs in a maintenance step.
	UnderMaintenance Table[bool] `json:"under_maintenance"`
	// VMsOnLoan holds the VMs that spare pools have lent.
	VMsOnLoan Table[bool] `json:"lent"`
	// Quarantined holds the VMs that are, or once were, in quarantine.
	Quarantined Table[bool] `json:"quarantined"`
	// Zones are the availability zones whose budget was set.
	Zones  Table[*Zone]  `json:"zones"`
	Leases Table[*Lease] `json:"leases"`
	Waves  Table[*Wave]  `json:"waves"`
	// Entries are the entry processes by incarnation.
	Entries Table[*Entry] `json:"entries"`
	// MembershipVersion counts the joined, left and reclaimed entries.
	MembershipVersion uint64 `json:"membership_version"`
	// Allotments divide the upper limits, by team.
	Allotments Table[*Allotments] `json:"allotments"`
	// WorkspaceByTeam holds the workspace that each team owns.
	WorkspaceByTeam Table[*Workspace] `json:"by_team"`

	// StreamCounts holds the number of streams by the prefix of their names.
	StreamCounts Table[int] `json:"stream_counts"`
	// Orders holds the claims within ClaimWindow by order ID.
	Orders Table[*Order] `json:"orders"`
	// UnsettledOrders holds the number of the current claim of each unsettled
	// order.
	UnsettledOrders Table[int] `json:"open_orders"`
	// OrdersByAge holds the order IDs sorted by the time of their keys.
	OrdersByAge Table[string] `json:"orders_by_age"`
	// OrderHorizonMS is the time before which no key can be claimed, in Unix
	// milliseconds. It never decreases.
	OrderHorizonMS int64 `json:"order_horizon_ms"`

	// Jobs holds the jobs by ID, finished ones for JobRetention.
	Jobs Table[*Job] `json:"jobs"`
	// UnfinishedJobs holds the epoch of each unfinished job.
	UnfinishedJobs Table[int] `json:"open_jobs"`
	// FinishedJobs holds the IDs of the finished jobs, sorted by completion time.
	FinishedJobs Table[string] `json:"ended_jobs"`
}

// WriterPosition is the progress of a writer in the stream.
type WriterPosition struct {
	// Seq is the highest record number applied.
	Seq uint64 `json:"seq"`
	// AtMS is the writer's wall clock at its latest batch, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// MembershipEnded is set once the writer has left or was reclaimed as an
	// entry.
	MembershipEnded bool `json:"gone,omitempty"`
}

// New returns the state of an empty stream.
func New() *State {
	return &State{}
}
