package dispatch

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ResolveOrder returns the outcome of an open claim that its VM's record proves,
// or nil while nothing is proved. OpenFor is the time for which the claim was
// known to be open when the VM was asked. It is pure.
func ResolveOrder(order *statemachine.Order, list provider.TaskList, openFor time.Duration) *statemachine.ClaimSettle {
	return settlementFromTaskList(order, list, openFor)
}
