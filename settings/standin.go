package settings

import "time"

// Standin configures the platform's stand-in.
type Standin struct {
	// Listen is the address to serve on, an IP number and a port.
	Listen string `json:"listen" validate:"required,ip_port" help:"the address to serve on, an IP number and a port"`
	// AppendsPerSecond is the log's rate limit.
	AppendsPerSecond int `json:"appends_per_second" validate:"min=1" help:"the log's rate limit"`
	// Retention is the time for which the log keeps a record.
	Retention Duration `json:"retention" validate:"min=1" help:"the time for which the log keeps a record"`
	// ListLag is the time by which the VM list lags.
	ListLag Duration `json:"list_lag" validate:"min=1" help:"the time by which the VM list lags"`
	// AvailabilityZones are the zones over which the racks are spread.
	AvailabilityZones []string `json:"availability_zones" validate:"min=1,dive,required" help:"the zones over which the racks are spread"`
	// VMsPerRack is the number of VMs in a rack.
	VMsPerRack int `json:"vms_per_rack" validate:"min=1" help:"the number of VMs in a rack"`
	// Slots is the number of slots of each VM.
	Slots int `json:"slots" validate:"min=1" help:"the number of slots of each VM"`
	// Connections is the number of connections that each VM takes.
	Connections int `json:"connections" validate:"min=1" help:"the number of connections that each VM takes"`
	// Pools are the pools of VMs.
	Pools []StandinPool `json:"pools" validate:"min=1,dive" help:"the pools of VMs"`
}

// StandinPool is one pool of the stand-in's VMs.
type StandinPool struct {
	Name string `json:"name" validate:"required" help:"name of the pool"`
	// VMs is the number of VMs in the pool.
	VMs int `json:"vms" validate:"min=1" help:"the number of VMs in the pool"`
}

// DefaultStandin returns the settings of a fleet of 50 VMs in five pools.
func DefaultStandin() Standin {
	return Standin{
		Listen:            "127.0.0.1:0",
		AppendsPerSecond:  300,
		Retention:         Duration(10 * time.Minute),
		ListLag:           Duration(time.Second),
		AvailabilityZones: []string{"az-1", "az-2", "az-3", "az-4"},
		VMsPerRack:        4,
		Slots:             8,
		Connections:       64,
		Pools: []StandinPool{
			{Name: "pool-1", VMs: 10}, {Name: "pool-2", VMs: 10}, {Name: "pool-3", VMs: 12},
			{Name: "pool-4", VMs: 10}, {Name: "spare", VMs: 8},
		},
	}
}
