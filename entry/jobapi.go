package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// jobVisibleFor bounds the wait for a job that another entry accepted.
const jobVisibleFor = time.Second

// jobAPI is the client API for jobs.
type jobAPI struct {
	clients    *clientAPI
	dispatcher *dispatch.Dispatcher
	runner     *job.Runner
}

func newJobRoutes(s settings.Entry, d *dispatch.Dispatcher, runner *job.Runner, gate *ingress.Gate) clientRoutes {
	j := &jobAPI{clients: &clientAPI{settings: s, gate: gate}, dispatcher: d, runner: runner}
	return func(engine *gin.Engine) {
		engine.POST("/v1/queues/:queue/jobs", j.accept)
		engine.GET("/v1/jobs/:job", j.get)
		engine.DELETE("/v1/jobs/:job", j.cancel)
	}
}

// accept responds with 202 once the job is in the log.
func (j *jobAPI) accept(g *gin.Context) {
	body, ok := j.clients.readBody(g)
	if !ok {
		return
	}
	req := dispatch.Request{Queue: g.Param("queue"), Key: bearer(g), Body: body, IdempotencyKey: g.GetHeader(api.HeaderIdempotencyKey)}
	grant, refusal := j.dispatcher.Authorize(req)
	if grant == nil {
		writeOutcome(g, refusal)
		return
	}
	if grant.Queue.Class != statemachine.ClassJob {
		writeProblem(g, http.StatusConflict, "wrong_class", "the queue takes requests, not jobs")
		return
	}
	if len(body) > statemachine.MaxJobBodyBytes {
		writeProblem(g, http.StatusRequestEntityTooLarge, "body_too_large", "the body of a job is too large to keep")
		return
	}
	id, refusal := j.dispatcher.JobID(req, grant, "job-"+uuid.Must(uuid.NewV7()).String())
	if refusal.Kind != "" {
		writeOutcome(g, refusal)
		return
	}
	err := j.runner.Accept(g.Request.Context(), &statemachine.JobAccept{
		ID: id, Team: grant.Workspace.Team, Queue: req.Queue, Pools: grant.Template.Pools,
		Idempotent: !grant.Queue.RunsAtMostOnce(), Body: body, BodyHash: dispatch.BodyHash(req),
	})
	if err != nil {
		writeJobError(g, err)
		return
	}
	g.Header("Location", "/v1/jobs/"+id)
	g.JSON(http.StatusAccepted, api.Job{ID: id, State: statemachine.JobQueued})
}

func (j *jobAPI) get(g *gin.Context) {
	if found, ok := j.find(g); ok {
		g.JSON(http.StatusOK, jobOf(found))
	}
}

// cancel responds with 202: a running job stops soon after.
func (j *jobAPI) cancel(g *gin.Context) {
	found, ok := j.find(g)
	if !ok {
		return
	}
	if err := j.runner.Cancel(g.Request.Context(), found.Team, found.ID); err != nil {
		writeJobError(g, err)
		return
	}
	g.JSON(http.StatusAccepted, api.Job{ID: found.ID, State: found.State})
}

// find returns the job in the path, if the client's key is for its queue.
func (j *jobAPI) find(g *gin.Context) (*statemachine.Job, bool) {
	ctx, cancel := context.WithTimeout(g.Request.Context(), jobVisibleFor)
	defer cancel()
	found, err := j.runner.Get(ctx, g.Param("job"))
	if err != nil {
		writeJobError(g, err)
		return nil, false
	}
	grant, refusal := j.dispatcher.Authorize(dispatch.Request{Queue: found.Queue, Key: bearer(g)})
	switch {
	case grant != nil && grant.Workspace.Team == found.Team:
		return found, true
	case refusal.Code == dispatch.CodeForeignQueue || refusal.Kind == "":
		writeJobError(g, job.ErrNotFound)
	default:
		writeOutcome(g, refusal)
	}
	return nil, false
}

func jobOf(j *statemachine.Job) api.Job {
	return api.Job{ID: j.ID, State: j.State, Attempt: j.Attempt, VM: j.Slot.Target, Answer: j.Answer, Message: j.Message, Reason: j.Reason}
}

// writeJobError responds to a job request that failed.
func writeJobError(g *gin.Context, err error) {
	switch {
	case errors.Is(err, job.ErrNotFound):
		writeProblem(g, http.StatusNotFound, "no_job", "there is no such job for this key")
	case errors.Is(err, job.ErrBodyMismatch):
		writeProblem(g, http.StatusConflict, string(dispatch.CodeKeyReused), err.Error())
	case errors.Is(err, job.ErrFinished):
		writeProblem(g, http.StatusConflict, "job_ended", "the job has ended, and nothing is left to cancel")
	case errors.Is(err, job.ErrNotAccepted):
		g.Header("Retry-After", "2")
		writeProblem(g, http.StatusServiceUnavailable, string(dispatch.CodeLogUnavailable), err.Error())
	default:
		writeProblemBody(g, api.Problem{
			Title: string(dispatch.CodeClaimUnknown), Status: http.StatusGatewayTimeout,
			Detail: err.Error(), Outcome: string(dispatch.Unknown),
		})
	}
}
