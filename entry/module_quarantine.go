package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/quarantine"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// quarantineModule provides the verdicts on failed jobs and withholds new work
// from targets on which every job fails.
var quarantineModule = fx.Module("quarantine",
	fx.Provide(
		newOutlierDetector,
		fx.Annotate(newQuarantineTask, fx.ResultTags(`group:"tasks"`)),
		fx.Annotate(newQuarantineRoutes, fx.ResultTags(`group:"operator_routes"`)),
	),
)

func newOutlierDetector(clock clockwork.Clock) *quarantine.Detector {
	return quarantine.NewDetector(verdict.DefaultParams(), clock)
}

func newQuarantineTask(detector *quarantine.Detector, id identity, shards jobShards, stream *logstream.Stream, clock clockwork.Clock, logger hclog.Logger) backgroundTask {
	controller := &quarantine.Controller{
		Detector: detector, Log: stream, Clock: clock, Logger: logger,
		Elected: func() bool {
			return shards.hasReadAll() && stream.Staleness() <= maxControlStaleness && isFirstMember(stream.State(), id.incarnation)
		},
	}
	return backgroundTask{name: "quarantine", run: controller.Run}
}

// newQuarantineRoutes lets operators quarantine a VM and release one.
func newQuarantineRoutes(o *operatorAPI) operatorRoutes {
	return func(group *gin.RouterGroup) {
		group.POST("/vms/:name/quarantine", o.quarantineVM)
		group.POST("/vms/:name/release", o.releaseVM)
	}
}

func (o *operatorAPI) quarantineVM(g *gin.Context) {
	var req api.VMQuarantineRequest
	if !readStrict(g, &req) {
		return
	}
	vm, ok := o.control.State().VMs.Get(g.Param("name"))
	if !ok {
		writeProblem(g, http.StatusNotFound, "not_found", "VM "+g.Param("name")+" is not registered")
		return
	}
	o.propose(g, &statemachine.VMQuarantine{
		VM: vm.ID, Pool: vm.Pool, Expected: req.Version, Cause: statemachine.QuarantineByOperator, Message: req.Message,
	})
}

// releaseVM ends a quarantine, whoever started it. The VM counts as repaired.
func (o *operatorAPI) releaseVM(g *gin.Context) {
	var req api.VMReleaseRequest
	if !readStrict(g, &req) {
		return
	}
	o.propose(g, &statemachine.VMRelease{VM: g.Param("name"), Expected: req.Version, Repaired: true})
}
