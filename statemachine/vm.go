package statemachine

// VM is a worker machine. It belongs to exactly one pool.
type VM struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	Pool             string `json:"pool"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Slots            int    `json:"slots"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

const (
	// KindVMAdd is the kind of VMAdd.
	KindVMAdd Kind = "vm_add"
	// KindVMRemove is the kind of VMRemove.
	KindVMRemove Kind = "vm_remove"
	// KindVMMove is the kind of VMMove.
	KindVMMove Kind = "vm_move"
)

// VMAdd registers a VM in a pool. It is void if the VM is registered.
type VMAdd struct {
	VM VM `json:"vm"`
}

// Kind implements Command.
func (*VMAdd) Kind() Kind { return KindVMAdd }

func (c *VMAdd) apply(next *State, _ applyContext) *Void {
	vm := c.VM
	if current, ok := next.VMs.Get(vm.ID); ok {
		return voidf(ReasonExists, "VM %s is in pool %s", vm.ID, current.Pool)
	}
	if _, ok := next.Pools.Get(vm.Pool); !ok {
		return voidf(ReasonNotFound, "pool %s does not exist", vm.Pool)
	}
	vm.Version = 1
	next.VMs = next.VMs.Set(vm.ID, &vm)
	return nil
}

// VMRemove takes a VM out of the fleet.
type VMRemove struct {
	VM       string `json:"vm"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*VMRemove) Kind() Kind { return KindVMRemove }

func (c *VMRemove) apply(next *State, _ applyContext) *Void {
	if _, void := vmAt(next, c.VM, c.Expected); void != nil {
		return void
	}
	next.VMs = next.VMs.Delete(c.VM)
	return nil
}

// VMMove moves a VM from one pool to another. It is void unless the VM is in
// From at the Expected version.
type VMMove struct {
	VM       string `json:"vm"`
	From     string `json:"from"`
	To       string `json:"to"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*VMMove) Kind() Kind { return KindVMMove }

func (c *VMMove) apply(next *State, _ applyContext) *Void {
	vm, void := vmAt(next, c.VM, c.Expected)
	if void != nil {
		return void
	}
	if vm.Pool != c.From {
		return voidf(ReasonVersion, "VM %s is in pool %s, not %s", c.VM, vm.Pool, c.From)
	}
	if _, ok := next.Pools.Get(c.To); !ok {
		return voidf(ReasonNotFound, "pool %s does not exist", c.To)
	}
	moved := *vm
	moved.Pool = c.To
	moved.Version++
	next.VMs = next.VMs.Set(c.VM, &moved)
	return nil
}

// vmAt returns the VM if it is at the expected version.
func vmAt(s *State, id string, expected uint64) (*VM, *Void) {
	vm, ok := s.VMs.Get(id)
	if !ok {
		return nil, voidf(ReasonNotFound, "VM %s is not registered", id)
	}
	if vm.Version != expected {
		return nil, voidf(ReasonVersion, "VM %s is at version %d, not %d", id, vm.Version, expected)
	}
	return vm, nil
}

// fleetCommands are the commands that change which VMs there are and where.
var fleetCommands = map[Kind]newCommand{
	KindVMAdd:    func() Command { return &VMAdd{} },
	KindVMRemove: func() Command { return &VMRemove{} },
	KindVMMove:   func() Command { return &VMMove{} },
}
