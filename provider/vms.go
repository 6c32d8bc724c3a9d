package provider

import "context"

// VMs is the platform's list of VMs. The list lags behind the fleet.
type VMs interface {
	// List returns all VMs that the platform knows of.
	List(ctx context.Context) ([]VMInfo, error)
}

// VMLifecycle changes the state of VMs.
type VMLifecycle interface {
	// Drain makes the VM refuse new tasks. Running tasks continue.
	Drain(ctx context.Context, address string) error
	// Reboot restarts the VM, which ends all its tasks. The VM refuses it unless
	// its task list is at the position: a call delayed until the VM has run
	// other tasks has no effect.
	Reboot(ctx context.Context, address string, at TaskListPosition) error
	// Resume makes a drained VM accept tasks again.
	Resume(ctx context.Context, address string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// VMActive means that the VM accepts tasks.
	VMActive VMState = "live"
	// VMDraining means that the VM is about to be removed or rebooted.
	VMDraining VMState = "leaving"
	// VMFailed means that the platform has lost the VM.
	VMFailed VMState = "failed"
)

// VMInfo is one VM in the platform's list.
type VMInfo struct {
	ID               string  `json:"id"`
	Address          string  `json:"address"`
	Pool             string  `json:"pool"`
	AvailabilityZone string  `json:"availability_zone"`
	Rack             string  `json:"rack"`
	Slots            int     `json:"slots"`
	Connections      int     `json:"connections"`
	State            VMState `json:"state"`
}
