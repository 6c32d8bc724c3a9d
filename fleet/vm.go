package fleet

// VMState is the state of a VM in the platform's list.
type VMState int

const (
	VMUnknown VMState = iota
	VMUp
	VMMoving
	VMInMaintenance
	VMDown
)

// VM is a row of the platform's list of VMs.
type VM struct {
	Name             string
	Pool             string
	State            VMState
	AvailabilityZone string
	Labels           []string
	Capacity         Resources
	// WorkerID is the worker that runs on the VM; empty for none.
	WorkerID string
}

// Rack returns the failure domain of the VM: the last of its labels.
func (v *VM) Rack() string {
	if len(v.Labels) < 2 {
		return ""
	}
	return v.Labels[len(v.Labels)-1]
}
