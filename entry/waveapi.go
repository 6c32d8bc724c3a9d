package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/maintenance/executor"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// waveAPI is the operator API for maintenance waves.
type waveAPI struct {
	operators *operatorAPI
	executor  *executor.Executor
	vmList    *vmListPoller
	demand    *demandMonitor
}

func newWaveRoutes(o *operatorAPI, e *executor.Executor, poller *vmListPoller, demand *demandMonitor) operatorRoutes {
	w := &waveAPI{operators: o, executor: e, vmList: poller, demand: demand}
	return func(group *gin.RouterGroup) {
		group.GET("/waves", w.list)
		group.GET("/waves/:name", w.get)
		group.POST("/waves", w.start)
		group.POST("/waves/:name/pause", w.change(statemachine.WavePaused))
		group.POST("/waves/:name/resume", w.change(statemachine.WaveRunning))
		group.POST("/waves/:name/abort", w.change(statemachine.WaveAborted))
		group.GET("/zones", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Zone] { return s.Zones }))
		group.PUT("/zones/:name", w.putZone)
	}
}

func (w *waveAPI) start(g *gin.Context) {
	var req api.WaveRequest
	if !readStrict(g, &req) {
		return
	}
	w.operators.propose(g, &statemachine.WaveStart{Wave: statemachine.Wave{
		ID: req.ID, Pools: req.Pools, DrainTimeoutMS: req.DeadlineMS, MaxParallel: req.MaxParallel, MaxFailures: req.MaxFailures,
	}})
}

// change returns a handler that sets a wave's state. A resume accepts the
// failures so far.
func (w *waveAPI) change(to statemachine.WaveState) gin.HandlerFunc {
	return func(g *gin.Context) {
		wave, ok := w.find(g)
		if !ok {
			return
		}
		command := &statemachine.WaveSet{Wave: wave.ID, Expected: wave.Version, State: to, Cause: "by an operator"}
		if to == statemachine.WaveRunning {
			command.AcceptFailures = maintenance.ProgressOf(w.operators.control.State(), wave).Failed
		}
		w.operators.propose(g, command)
	}
}

func (w *waveAPI) find(g *gin.Context) (*statemachine.Wave, bool) {
	wave, ok := w.operators.control.State().Waves.Get(g.Param("name"))
	if !ok {
		writeProblem(g, http.StatusNotFound, "not_found", "there is no wave "+g.Param("name"))
	}
	return wave, ok
}

func (w *waveAPI) get(g *gin.Context) {
	if wave, ok := w.find(g); ok {
		g.JSON(http.StatusOK, w.describe(wave, w.conditions()))
	}
}

func (w *waveAPI) list(g *gin.Context) {
	conditions := w.conditions()
	out := []api.WaveStatus{}
	for _, wave := range w.operators.control.State().Waves.All() {
		out = append(out, w.describe(wave, conditions))
	}
	g.JSON(http.StatusOK, out)
}

// conditions returns the conditions that the waves wait for: from the last plan
// if this entry is the planner, otherwise derived from the records.
func (w *waveAPI) conditions() []maintenance.Condition {
	if plan := w.executor.LatestPlan(); plan != nil {
		return plan.Conditions
	}
	observed := maintenance.Observation{ListedAt: w.vmList.listedAt(), RequiredVMs: w.demand.requiredVMs()}
	params := maintenance.DefaultParams(placement.LeaseTTL)
	return maintenance.Decide(w.operators.control.State(), observed, params, time.Now()).Conditions
}

func (w *waveAPI) describe(wave *statemachine.Wave, conditions []maintenance.Condition) api.WaveStatus {
	state := w.operators.control.State()
	out := api.WaveStatus{Wave: *wave, Progress: maintenance.ProgressOf(state, wave), Conditions: []maintenance.Condition{}}
	if held, ok := state.Leases.Get(statemachine.MaintenanceLease); ok {
		out.Planner = held.Holder
	}
	for _, condition := range conditions {
		if condition.Wave == wave.ID {
			out.Conditions = append(out.Conditions, condition)
		}
	}
	return out
}

func (w *waveAPI) putZone(g *gin.Context) {
	var zone statemachine.Zone
	expected, ok := expectedVersion(g)
	if !ok || !readStrict(g, &zone) || !matchesPathName(g, zone.Name) {
		return
	}
	w.operators.propose(g, &statemachine.ZoneSet{Zone: zone, Expected: expected})
}
