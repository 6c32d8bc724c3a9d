package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// operatorAPI is the HTTP API for operators.
type operatorAPI struct {
	settings   settings.Entry
	id         identity
	control    *control
	membership *membership.Membership
	dispatcher *dispatch.Dispatcher
	inDoubt    *dispatch.InDoubtSet
	ledger     *quota.Ledger
	ring       *timeline.Ring
	ready      *readiness
	metrics    *metrics
}

func newOperatorAPI(s settings.Entry, id identity, c *control, members *membership.Membership, d *dispatch.Dispatcher,
	inDoubt *dispatch.InDoubtSet, ledger *quota.Ledger, ring *timeline.Ring, ready *readiness, m *metrics,
) *operatorAPI {
	return &operatorAPI{
		settings: s, id: id, control: c, membership: members, dispatcher: d, inDoubt: inDoubt, ledger: ledger, ring: ring, ready: ready,
		metrics: m,
	}
}

func (o *operatorAPI) handler(routes []operatorRoutes) *gin.Engine {
	engine := newEngine()
	engine.GET("/healthz", func(g *gin.Context) { g.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", o.readyz)
	engine.GET("/debug/vars", gin.WrapH(o.metrics))
	group := engine.Group("/v1", o.authenticate)
	group.GET("/status", o.status)
	group.GET("/timeline", o.timeline)
	addTable(o, group, "/templates", templatesOf, templateName, setTemplate)
	addTable(o, group, "/workspaces", workspacesOf, workspaceName, setWorkspace)
	addTable(o, group, "/pools", poolsOf, poolName, setPool)
	group.GET("/vms", listOf(o, vmsOf))
	group.POST("/vms/:name/move", o.moveVM)
	group.GET("/keys", listOf(o, keysOf))
	group.POST("/keys", o.grantKey)
	group.DELETE("/keys/:hash", o.withdrawKey)
	for _, add := range routes {
		add(group)
	}
	return engine
}

// authenticate rejects requests without an operator key.
func (o *operatorAPI) authenticate(g *gin.Context) {
	hash := statemachine.HashKey(bearer(g))
	for _, known := range o.settings.OperatorKeyHashes {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(known))) == 1 {
			return
		}
	}
	writeProblem(g, http.StatusUnauthorized, "unknown_operator_key", "the operator key is missing or not known")
}

func (o *operatorAPI) readyz(g *gin.Context) {
	if reason := o.ready.notReadyReason(); reason != "" {
		g.String(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	g.String(http.StatusOK, "ready\n")
}

// moveVM drains the VM for its new pool. It joins the pool once no task runs on
// it.
func (o *operatorAPI) moveVM(g *gin.Context) {
	var req api.VMMoveRequest
	if !readStrict(g, &req) {
		return
	}
	o.propose(g, &statemachine.VMDrain{VM: g.Param("name"), Pool: req.From, MoveTo: req.To, Expected: req.Version})
}

func (o *operatorAPI) grantKey(g *gin.Context) {
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

func (o *operatorAPI) withdrawKey(g *gin.Context) {
	o.propose(g, &statemachine.KeyWithdraw{Hash: g.Param("hash")})
}
