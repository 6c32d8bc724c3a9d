package dispatch

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ResolveOrder returns the outcome of an open claim that its VM's task list
// proves, or nil while nothing is proven. OpenFor is how long the claim was
// known to be open when the VM was queried. It is a pure function.
func ResolveOrder(order *statemachine.Order, list provider.TaskList, openFor time.Duration) *statemachine.ClaimSettle {
	return settlementFromTaskList(order, list, openFor)
}
