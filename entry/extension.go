package entry

import (
	"context"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// The modules of the entry provide these through fx value groups, so that the
// daemon need not know them one by one.

// task is background work that runs while the entry does. Its group is
// "tasks".
type task struct {
	name string
	run  func(ctx context.Context)
}

// operatorRoutes adds routes to the operators' interface, behind the check of
// the operator's key. Its group is "operator_routes".
type operatorRoutes func(group *gin.RouterGroup)

// callerRoutes adds routes to the callers' interface. Its group is
// "caller_routes".
type callerRoutes func(engine *gin.Engine)

// peerRoute answers one type of call from other entries. It returns nil if
// the call is of another type. Its group is "peers".
type peerRoute func(ctx context.Context, req *peerpb.Request) *peerpb.Response

// stopStep is work of a graceful stop, between the last request and the
// leave. Its group is "stop_steps".
type stopStep struct {
	name string
	run  func(ctx context.Context) error
}
