package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/settings"
)

// maxTimeout bounds the request timeout that a client may set.
const maxTimeout = 24 * time.Hour

// clientAPI is the HTTP API for clients.
type clientAPI struct {
	settings   settings.Entry
	dispatcher *dispatch.Dispatcher
	metrics    *metrics
	gate       *ingress.Gate
}

func newClientHandler(s settings.Entry, d *dispatch.Dispatcher, m *metrics, gate *ingress.Gate, routes []clientRoutes) *gin.Engine {
	c := &clientAPI{settings: s, dispatcher: d, metrics: m, gate: gate}
	engine := newEngine()
	engine.POST("/v1/queues/:queue/requests", c.submit)
	for _, add := range routes {
		add(engine)
	}
	return engine
}

func newEngine() *gin.Engine {
	engine := gin.New()
	engine.NoRoute(func(g *gin.Context) {
		writeProblem(g, http.StatusNotFound, "no_route", "there is nothing at "+g.Request.Method+" "+g.Request.URL.Path)
	})
	return engine
}

func (c *clientAPI) submit(g *gin.Context) {
	timeout, err := parseTimeout(g.GetHeader(api.HeaderTimeout))
	if err != nil {
		writeProblem(g, http.StatusBadRequest, "bad_timeout", err.Error())
		return
	}
	body, ok := c.readBody(g)
	if !ok {
		return
	}
	outcome := c.dispatcher.Do(g.Request.Context(), dispatch.Request{
		Queue:          g.Param("queue"),
		Key:            bearer(g),
		Body:           body,
		Timeout:        timeout,
		IdempotencyKey: g.GetHeader(api.HeaderIdempotencyKey),
	})
	c.metrics.countOutcome(outcome)
	writeOutcome(g, outcome)
}

// readBody reads the whole request body, or responds with the error.
func (c *clientAPI) readBody(g *gin.Context) ([]byte, bool) {
	body, refusal := c.gate.ReadBody(g.Request, c.settings.MaxBodyBytes)
	if refusal == nil {
		return body, true
	}
	refusal.SetHeaders(g.Writer.Header())
	title, detail := refusalTitles[refusal.Status], refusal.Message
	if refusal.Status == http.StatusRequestEntityTooLarge {
		detail = "the body is over the limit of " + strconv.FormatInt(c.settings.MaxBodyBytes, 10) + " bytes"
	}
	writeProblem(g, refusal.Status, title, detail)
	return nil, false
}

// refusalTitles name the reasons for which a body is not read.
var refusalTitles = map[int]string{
	http.StatusRequestEntityTooLarge: "body_too_large",
	http.StatusBadRequest:            "unreadable_body",
	http.StatusRequestTimeout:        "body_timeout",
	http.StatusServiceUnavailable:    "no_room",
}

// parseTimeout parses a timeout in seconds. It returns 0 for an empty text.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	timeout := time.Duration(seconds * float64(time.Second))
	if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) || timeout <= 0 {
		return 0, errors.Newf("%s must be a number of seconds above 0 and up to %.0f, not %q", api.HeaderTimeout, maxTimeout.Seconds(), text)
	}
	return timeout, nil
}

func bearer(g *gin.Context) string {
	key, ok := strings.CutPrefix(g.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// statusOf maps an outcome without an answer to its HTTP status.
func statusOf(o dispatch.Outcome) int {
	switch o.Code {
	case dispatch.CodeNoKey, dispatch.CodeUnknownKey:
		return http.StatusUnauthorized
	case dispatch.CodeForeignQueue:
		return http.StatusForbidden
	case dispatch.CodeNoQueue:
		return http.StatusNotFound
	case dispatch.CodeBadIdempotencyKey:
		return http.StatusBadRequest
	case dispatch.CodeKeyOutsideWindow:
		return http.StatusUnprocessableEntity
	case dispatch.CodeKeyReused, dispatch.CodeOrderOpen:
		return http.StatusConflict
	case dispatch.CodeTeamLimit:
		return http.StatusTooManyRequests
	case dispatch.CodeWrongClass, dispatch.CodeNotImplemented:
		return http.StatusNotImplemented
	case dispatch.CodeTaskFailed, dispatch.CodeTaskStopped:
		return http.StatusBadGateway
	case dispatch.CodeReplyLost, dispatch.CodeTimeout, dispatch.CodeAnswerNotRetained, dispatch.CodeClaimUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func writeOutcome(g *gin.Context, o dispatch.Outcome) {
	g.Header(api.HeaderRequest, o.RequestID)
	if o.Kind == dispatch.Answered {
		g.Header(api.HeaderVM, o.VM)
		g.Header("Content-Length", strconv.Itoa(len(o.Answer)))
		g.Data(http.StatusOK, "application/json", o.Answer)
		return
	}
	if o.RetryAfter > 0 {
		seconds := max(1, int(o.RetryAfter.Round(time.Second).Seconds()))
		g.Header("Retry-After", strconv.Itoa(seconds))
	}
	writeProblemBody(g, api.Problem{
		Title: string(o.Code), Status: statusOf(o), Detail: o.Message, Outcome: string(o.Kind), Request: o.RequestID,
	})
}

// writeProblem rejects a request that was not run.
func writeProblem(g *gin.Context, status int, title, detail string) {
	writeProblemBody(g, api.Problem{Title: title, Status: status, Detail: detail, Outcome: string(dispatch.NotRun)})
}

func writeProblemBody(g *gin.Context, p api.Problem) {
	g.Header("Content-Type", api.ProblemType)
	g.AbortWithStatusJSON(p.Status, p)
}
