package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// members is the operators' interface to the membership.
type members struct {
	operators *operators
}

func newMemberRoutes(o *operators) operatorRoutes {
	m := &members{operators: o}
	return func(group *gin.RouterGroup) {
		group.GET("/entries", m.list)
		group.POST("/entries/:name/gone", m.gone)
	}
}

func (m *members) list(g *gin.Context) {
	g.JSON(http.StatusOK, m.operators.entries())
}

// gone records an operator's word that a removed entry runs no more. An entry
// that answers, now or within ReachableFor, is refused.
func (m *members) gone(g *gin.Context) {
	var req api.EntryGoneRequest
	if !readStrict(g, &req) {
		return
	}
	incarnation := g.Param("name")
	m.operators.membership.SendHeartbeats(g.Request.Context())
	if at, ok := m.answeredAt(incarnation); ok {
		writeProblem(g, http.StatusConflict, "entry_answers", incarnation+" answered at "+at.Format(time.RFC3339Nano)+"; stop it first")
		return
	}
	m.operators.propose(g, &statemachine.EntryRemovalConfirm{Incarnation: incarnation, By: req.By, Reason: req.Reason})
}

// removedEntries counts the entries that were removed and not cleared yet.
func removedEntries(state *statemachine.State) int {
	count := 0
	for _, entry := range state.Entries.All() {
		if entry.State == statemachine.EntryRemoved {
			count++
		}
	}
	return count
}

// answeredAt returns when the entry was asked that has answered lately.
func (m *members) answeredAt(incarnation string) (time.Time, bool) {
	for _, member := range m.operators.membership.Reachable() {
		if member.Incarnation == incarnation {
			return member.SentAt, true
		}
	}
	return time.Time{}, false
}
