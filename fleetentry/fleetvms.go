package fleetentry

import "context"

// FleetVMs orders moves and maintenance of VMs for the owner.
type FleetVMs struct {
	vms VMs
}

func (f *FleetVMs) run(_ *Owner) func(context.Context) {
	return func(context.Context) {}
}
