package entry

import (
	"context"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// The modules of the entry provide these types through fx value groups, so that
// the daemon does not depend on each module.

// backgroundTask runs as long as the entry. Its group is "tasks".
type backgroundTask struct {
	name string
	run  func(ctx context.Context)
}

// operatorRoutes adds routes to the operator API, behind the check of the
// operator's key. Its group is "operator_routes".
type operatorRoutes func(group *gin.RouterGroup)

// clientRoutes adds routes to the client API. Its group is "caller_routes".
type clientRoutes func(engine *gin.Engine)

// peerRoute handles one type of request from other entries. It returns nil for
// a request of another type. Its group is "peers".
type peerRoute func(ctx context.Context, req *peerpb.Request) *peerpb.Response

// stopStep is one step of a graceful stop, between the last request and leaving
// the membership. Its group is "stop_steps".
type stopStep struct {
	name string
	run  func(ctx context.Context) error
}
