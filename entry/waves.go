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

// waves is the operators' interface to maintenance waves.
type waves struct {
	operators *operators
	executor  *executor.Executor
	watch     *fleetWatch
	demand    *demandWatch
}

func newWaveRoutes(o *operators, e *executor.Executor, watch *fleetWatch, demand *demandWatch) operatorRoutes {
	w := &waves{operators: o, executor: e, watch: watch, demand: demand}
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

func (w *waves) start(g *gin.Context) {
	var req api.WaveRequest
	if !readStrict(g, &req) {
		return
	}
	w.operators.propose(g, &statemachine.WaveStart{Wave: statemachine.Wave{
		ID: req.ID, Pools: req.Pools, DrainTimeoutMS: req.DeadlineMS, MaxParallel: req.MaxParallel, MaxFailures: req.MaxFailures,
	}})
}

// change brings a wave into the state. A resume accepts the failures so far.
func (w *waves) change(to statemachine.WaveState) gin.HandlerFunc {
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

func (w *waves) find(g *gin.Context) (*statemachine.Wave, bool) {
	wave, ok := w.operators.control.State().Waves.Get(g.Param("name"))
	if !ok {
		writeProblem(g, http.StatusNotFound, "not_found", "there is no wave "+g.Param("name"))
	}
	return wave, ok
}

func (w *waves) get(g *gin.Context) {
	if wave, ok := w.find(g); ok {
		g.JSON(http.StatusOK, w.describe(wave, w.conditions()))
	}
}

func (w *waves) list(g *gin.Context) {
	conditions := w.conditions()
	out := []api.WaveStatus{}
	for _, wave := range w.operators.control.State().Waves.All() {
		out = append(out, w.describe(wave, conditions))
	}
	g.JSON(http.StatusOK, out)
}

// conditions returns what the waves wait for: as the planner found it if this
// entry is it, and else as far as the records tell.
func (w *waves) conditions() []maintenance.Condition {
	if plan := w.executor.LatestPlan(); plan != nil {
		return plan.Conditions
	}
	observed := maintenance.Observation{ListedAt: w.watch.listedAt(), RequiredVMs: w.demand.need()}
	params := maintenance.DefaultParams(placement.LeaseTTL)
	return maintenance.Decide(w.operators.control.State(), observed, params, time.Now()).Conditions
}

func (w *waves) describe(wave *statemachine.Wave, conditions []maintenance.Condition) api.WaveStatus {
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

func (w *waves) putZone(g *gin.Context) {
	var zone statemachine.Zone
	expected, ok := expectedVersion(g)
	if !ok || !readStrict(g, &zone) || !sameName(g, zone.Name) {
		return
	}
	w.operators.propose(g, &statemachine.ZoneSet{Zone: zone, Expected: expected})
}
