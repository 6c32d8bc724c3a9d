package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// VMOrder is an order for a VM that a leader stores before it sends it.
type VMOrder struct {
	FencingToken int64 `json:"k"`
}

// VMOrderRecord returns the record of the VM's newest order.
func VMOrderRecord(vm string, o VMOrder) fleet.Record { return record(kindVMOrder, vm, o) }

// OrderedVM returns the VM of the record of an order; ok is false for other records.
func OrderedVM(r fleet.Record) (vm string, ok bool) {
	if r.Key == "" || r.Key[0] != kindVMOrder {
		return "", false
	}
	return r.Key[1:], true
}
