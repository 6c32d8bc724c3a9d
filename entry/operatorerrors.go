package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

func writeProposeError(g *gin.Context, err error) {
	outcome := dispatch.NotRun
	detail := "the log took no record of the change; try again"
	if provider.OutcomeOf(err) != provider.Refused {
		outcome = dispatch.Unknown
		detail = "the log did not confirm the change in time; it may be in force: read it before trying again"
	}
	writeProblemBody(g, api.Problem{Title: "log_unavailable", Status: http.StatusServiceUnavailable, Detail: detail, Outcome: string(outcome)})
}

func rejectionStatus(reason statemachine.Reason) int {
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
