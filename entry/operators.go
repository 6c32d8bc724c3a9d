package entry

import (
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// maxOperatorBody bounds the body of an operator's call, in bytes.
const maxOperatorBody = 1 << 20

// operators is the HTTP interface for operators.
type operators struct {
	settings   settings.Entry
	id         identity
	control    *control
	membership *membership.Membership
	dispatcher *dispatch.Dispatcher
	limbo      *dispatch.Limbo
	ledger     *quota.Ledger
	ring       *timeline.Ring
	ready      *readiness
	metrics    *metrics
}

func newOperators(s settings.Entry, id identity, c *control, members *membership.Membership, d *dispatch.Dispatcher,
	limbo *dispatch.Limbo, ledger *quota.Ledger, ring *timeline.Ring, ready *readiness, m *metrics,
) *operators {
	return &operators{
		settings: s, id: id, control: c, membership: members, dispatcher: d, limbo: limbo, ledger: ledger, ring: ring, ready: ready,
		metrics: m,
	}
}

func (o *operators) handler(routes []operatorRoutes) *gin.Engine {
	engine := newEngine()
	engine.GET("/healthz", func(g *gin.Context) { g.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", o.readyz)
	engine.GET("/debug/vars", gin.WrapH(o.metrics))
	group := engine.Group("/v1", o.authenticate)
	group.GET("/status", o.status)
	group.GET("/timeline", o.timeline)
	group.GET("/templates", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Template] { return s.Templates }))
	group.GET("/templates/:name", getOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Template] { return s.Templates }))
	group.PUT("/templates/:name", o.putTemplate)
	group.GET("/workspaces", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Workspace] { return s.Workspaces }))
	group.GET("/workspaces/:name", getOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Workspace] { return s.Workspaces }))
	group.PUT("/workspaces/:name", o.putWorkspace)
	group.GET("/pools", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Pool] { return s.Pools }))
	group.GET("/pools/:name", getOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Pool] { return s.Pools }))
	group.PUT("/pools/:name", o.putPool)
	group.GET("/vms", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.VM] { return s.VMs }))
	group.POST("/vms/:name/move", o.moveVM)
	group.GET("/keys", listOf(o, func(s *statemachine.State) statemachine.Table[*statemachine.Key] { return s.Keys }))
	group.POST("/keys", o.grantKey)
	group.DELETE("/keys/:hash", o.withdrawKey)
	for _, add := range routes {
		add(group)
	}
	return engine
}

// authenticate lets only operators pass.
func (o *operators) authenticate(g *gin.Context) {
	hash := statemachine.HashKey(bearer(g))
	for _, known := range o.settings.OperatorKeyHashes {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(known))) == 1 {
			return
		}
	}
	writeProblem(g, http.StatusUnauthorized, "unknown_operator_key", "the operator key is missing or not known")
}

func (o *operators) readyz(g *gin.Context) {
	if reason := o.ready.reason(); reason != "" {
		g.String(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	g.String(http.StatusOK, "ready\n")
}

func listOf[T any](o *operators, table func(*statemachine.State) statemachine.Table[T]) gin.HandlerFunc {
	return func(g *gin.Context) {
		out := []T{}
		for _, v := range table(o.control.State()).All() {
			out = append(out, v)
		}
		g.JSON(http.StatusOK, out)
	}
}

func getOf[T any](o *operators, table func(*statemachine.State) statemachine.Table[T]) gin.HandlerFunc {
	return func(g *gin.Context) {
		v, ok := table(o.control.State()).Get(g.Param("name"))
		if !ok {
			writeProblem(g, http.StatusNotFound, "not_found", "there is no "+g.Param("name"))
			return
		}
		g.JSON(http.StatusOK, v)
	}
}

// readStrict decodes and checks the JSON body, or answers what is wrong.
func readStrict(g *gin.Context, out any) bool {
	body, err := g.GetRawData()
	if err != nil {
		writeProblem(g, http.StatusBadRequest, "unreadable_body", "the body cannot be read: "+err.Error())
		return false
	}
	if len(body) > maxOperatorBody {
		writeProblem(g, http.StatusRequestEntityTooLarge, "body_too_large", "the body is over "+strconv.Itoa(maxOperatorBody)+" bytes")
		return false
	}
	if err := settings.Decode(body, out); err != nil {
		writeProblem(g, http.StatusBadRequest, "invalid", err.Error())
		return false
	}
	return true
}

// expectedVersion reads If-Match. Without the header a new object is expected.
func expectedVersion(g *gin.Context) (uint64, bool) {
	text := strings.Trim(g.GetHeader("If-Match"), `"`)
	if text == "" {
		return 0, true
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(g, http.StatusBadRequest, "bad_version", "If-Match must be a version number")
		return 0, false
	}
	return version, true
}

func (o *operators) putTemplate(g *gin.Context) {
	var template statemachine.Template
	expected, ok := expectedVersion(g)
	if !ok || !readStrict(g, &template) || !sameName(g, template.Name) {
		return
	}
	o.propose(g, &statemachine.TemplateSet{Template: template, Expected: expected})
}

func (o *operators) putWorkspace(g *gin.Context) {
	var workspace statemachine.Workspace
	expected, ok := expectedVersion(g)
	if !ok || !readStrict(g, &workspace) || !sameName(g, workspace.Name) {
		return
	}
	o.propose(g, &statemachine.WorkspaceSet{Workspace: workspace, Expected: expected})
}

func (o *operators) putPool(g *gin.Context) {
	var pool statemachine.Pool
	expected, ok := expectedVersion(g)
	if !ok || !readStrict(g, &pool) || !sameName(g, pool.Name) {
		return
	}
	o.propose(g, &statemachine.PoolSet{Pool: pool, Expected: expected})
}

func sameName(g *gin.Context, name string) bool {
	if name == g.Param("name") {
		return true
	}
	writeProblem(g, http.StatusBadRequest, "invalid", "name: "+strconv.Quote(name)+" must be "+strconv.Quote(g.Param("name"))+", as in the path")
	return false
}

// moveVM drains the VM for its new pool. It joins the pool once it is empty.
func (o *operators) moveVM(g *gin.Context) {
	var req api.VMMoveRequest
	if !readStrict(g, &req) {
		return
	}
	o.propose(g, &statemachine.VMDrain{VM: g.Param("name"), Pool: req.From, MoveTo: req.To, Expected: req.Version})
}

func (o *operators) grantKey(g *gin.Context) {
	var req api.KeyGrantRequest
	if !readStrict(g, &req) {
		return
	}
	key := newKey()
	hash := statemachine.HashKey(key)
	accepted, ok := o.accept(g, &statemachine.KeyGrant{Hash: hash, Workspace: req.Workspace, Label: req.Label})
	if !ok {
		return
	}
	g.JSON(acceptedStatus(accepted), api.KeyGranted{Accepted: accepted, Key: key, Hash: hash})
}

func (o *operators) withdrawKey(g *gin.Context) {
	o.propose(g, &statemachine.KeyWithdraw{Hash: g.Param("hash")})
}

func writeProposeError(g *gin.Context, err error) {
	outcome := dispatch.NotRun
	detail := "the log took no record of the change; try again"
	if platform.OutcomeOf(err) != platform.Refused {
		outcome = dispatch.Unknown
		detail = "the log did not confirm the change in time; it may be in force: read it before trying again"
	}
	writeProblemBody(g, api.Problem{Title: "log_unavailable", Status: http.StatusServiceUnavailable, Detail: detail, Outcome: string(outcome)})
}

func voidStatus(reason statemachine.Reason) int {
	switch reason {
	case statemachine.ReasonVersion:
		return http.StatusPreconditionFailed
	case statemachine.ReasonNotFound:
		return http.StatusNotFound
	case statemachine.ReasonExists, statemachine.ReasonWithdrawn, statemachine.ReasonBudget, statemachine.ReasonStep:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}
