package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// memberAPI is the operator API for the membership.
type memberAPI struct {
	operators *operatorAPI
}

func newMemberRoutes(o *operatorAPI) operatorRoutes {
	m := &memberAPI{operators: o}
	return func(group *gin.RouterGroup) {
		group.GET("/entries", m.list)
		group.POST("/entries/:name/gone", m.confirmRemoval)
	}
}

func (m *memberAPI) list(g *gin.Context) {
	g.JSON(http.StatusOK, m.operators.entries())
}

// confirmRemoval records an operator's confirmation that a removed entry no longer
// runs. It is rejected while the entry responds, now or within
// ReachabilityTimeout.
func (m *memberAPI) confirmRemoval(g *gin.Context) {
	var req api.EntryGoneRequest
	if !readStrict(g, &req) {
		return
	}
	incarnation := g.Param("name")
	m.operators.membership.SendHeartbeats(g.Request.Context())
	if at, ok := m.lastReachedAt(incarnation); ok {
		writeProblem(g, http.StatusConflict, "entry_answers", incarnation+" answered at "+at.Format(time.RFC3339Nano)+"; stop it first")
		return
	}
	m.operators.propose(g, &statemachine.EntryRemovalConfirm{Incarnation: incarnation, By: req.By, Reason: req.Reason})
}

// countRemovedEntries counts the removed entries that are not reclaimed yet.
func countRemovedEntries(state *statemachine.State) int {
	count := 0
	for _, entry := range state.Entries.All() {
		if entry.State == statemachine.EntryRemoved {
			count++
		}
	}
	return count
}

// lastReachedAt returns when the latest answered heartbeat to a reachable entry
// was sent.
func (m *memberAPI) lastReachedAt(incarnation string) (time.Time, bool) {
	for _, member := range m.operators.membership.Reachable() {
		if member.Incarnation == incarnation {
			return member.SentAt, true
		}
	}
	return time.Time{}, false
}
