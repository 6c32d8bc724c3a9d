package provider

import "context"

// VMs is the platform's list of VMs. The list lags behind the fleet.
type VMs interface {
	// List returns all VMs that the platform knows of.
	List(ctx context.Context) ([]VMInfo, error)
}

// VMLifecycle changes the state of VMs.
type VMLifecycle interface {
	// Drain tells the VM to refuse new work. Tasks that run go on.
	Drain(ctx context.Context, address string) error
	// Reboot restarts the VM, which ends all its tasks. The VM refuses it unless
	// its record of tasks stands at the position: a call that was held up until
	// the VM has run other tasks changes nothing.
	Reboot(ctx context.Context, address string, at TaskListPosition) error
	// Resume tells a drained VM to take work again.
	Resume(ctx context.Context, address string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// VMActive means that the VM takes work.
	VMActive VMState = "live"
	// VMDraining means that the VM is about to go away or to reboot.
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
