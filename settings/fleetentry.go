package settings

import "time"

// FleetEntry holds the settings of an entry on the users' platform.
type FleetEntry struct {
	// Node is the entry's name.
	Node string `json:"node" validate:"required"`
	// AvailabilityZone is where the entry runs.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// Callers is where clients connect, Readiness where the balancer asks.
	Callers   string `json:"callers" validate:"required,ip_port"`
	Readiness string `json:"readiness" validate:"required,ip_port"`
	// Metrics is where counters are served; empty for nowhere.
	Metrics string `json:"metrics" validate:"omitempty,ip_port"`
	// Store, VMs and Advice are the platform's services.
	Store  string `json:"store" validate:"required,ip_port"`
	VMs    string `json:"vms" validate:"omitempty,ip_port"`
	Advice string `json:"advice" validate:"omitempty,ip_port"`
	// ProcessorShare is the part of a core that the entry has.
	ProcessorShare float64 `json:"processor_share" validate:"gte=0"`
	MemoryMB       int64   `json:"memory_mb" validate:"gte=0"`
	// MaxDescriptors is how many descriptors the entry may open; 0 for the process's limit.
	MaxDescriptors int64 `json:"max_descriptors" validate:"gte=0"`
	// ClientMemoryMB bounds what the entry holds of requests that clients send; 0 derives it
	// from MemoryMB.
	ClientMemoryMB int64 `json:"client_memory_mb" validate:"gte=0"`
	// MaxClientConnections bounds clients' open connections; 0 derives it from
	// MaxDescriptors and MemoryMB.
	MaxClientConnections int `json:"max_client_connections" validate:"gte=0"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=4096"`
	// ClientStallMS is how long a request may stand still while it is sent or answered.
	ClientStallMS int64 `json:"client_stall_ms" validate:"min=100"`
	// VMOrdersPerS is how many moves and maintenance calls the platform takes.
	VMOrdersPerS float64 `json:"vm_orders_per_s" validate:"gte=0"`
	// Bounds of the platform.
	MaxLeaseMS       int64   `json:"max_lease_ms" validate:"min=500"`
	StopMS           int64   `json:"stop_ms" validate:"gte=0"`
	StopGraceS       float64 `json:"stop_grace_s" validate:"gte=0"`
	KeepStateS       float64 `json:"keep_state_s" validate:"gte=0"`
	CheckpointS      float64 `json:"checkpoint_s" validate:"gte=0"`
	FarFactor        float64 `json:"far_factor" validate:"gte=0"`
	MoveS            float64 `json:"move_s" validate:"gte=0"`
	MaintenanceS     float64 `json:"maintenance_s" validate:"gte=0"`
	VMOrderLeaseMS   int64   `json:"vm_order_lease_ms" validate:"gte=0"`
	DisruptionAwayMS int64   `json:"disruption_away_ms" validate:"gte=0"`
	TailGraceMS      int64   `json:"tail_grace_ms" validate:"gte=0"`
	// RestoreMS is how long a worker takes to resume a task from its checkpoint.
	RestoreMS int64 `json:"restore_ms" validate:"gte=0"`
	// Policies are the decisions under overload.
	Policies Policies `json:"policies"`
}

// MaxLease returns the longest lease that a worker gives.
func (f *FleetEntry) MaxLease() time.Duration {
	return time.Duration(f.MaxLeaseMS) * time.Millisecond
}

// Seconds turns a setting in seconds into a span.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DefaultFleetEntry returns the values of settings that the file leaves out.
func DefaultFleetEntry() FleetEntry {
	return FleetEntry{
		VMOrdersPerS: 10, MaxLeaseMS: 6000, StopMS: 1000, StopGraceS: 6, KeepStateS: 120,
		CheckpointS: 2, FarFactor: 2, MoveS: 2, MaintenanceS: 2, VMOrderLeaseMS: 3000,
		DisruptionAwayMS: 4500, TailGraceMS: 4000, RestoreMS: 600,
		MaxHeaderBytes: 32 << 10, ClientStallMS: 5000,
	}
}

// LoadFleetEntry reads, completes and checks the settings.
func LoadFleetEntry(path string) (FleetEntry, error) {
	out := DefaultFleetEntry()
	err := load(path, &out)
	return out, err
}
