package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// tableOf returns one table of a state.
type tableOf[T any] func(*statemachine.State) statemachine.Table[T]

func templatesOf(s *statemachine.State) statemachine.Table[*statemachine.Template] {
	return s.Templates
}

func workspacesOf(s *statemachine.State) statemachine.Table[*statemachine.Workspace] {
	return s.Workspaces
}

func poolsOf(s *statemachine.State) statemachine.Table[*statemachine.Pool] { return s.Pools }

func vmsOf(s *statemachine.State) statemachine.Table[*statemachine.VM] { return s.VMs }

func keysOf(s *statemachine.State) statemachine.Table[*statemachine.Key] { return s.Keys }

func templateName(t *statemachine.Template) string { return t.Name }

func workspaceName(w *statemachine.Workspace) string { return w.Name }

func poolName(p *statemachine.Pool) string { return p.Name }

func setTemplate(t *statemachine.Template, expected uint64) statemachine.Command {
	return &statemachine.TemplateSet{Template: *t, Expected: expected}
}

func setWorkspace(w *statemachine.Workspace, expected uint64) statemachine.Command {
	return &statemachine.WorkspaceSet{Workspace: *w, Expected: expected}
}

func setPool(p *statemachine.Pool, expected uint64) statemachine.Command {
	return &statemachine.PoolSet{Pool: *p, Expected: expected}
}

// addTable adds the routes below the path that list, get and put the table's
// objects.
func addTable[T any](
	o *operatorAPI, group *gin.RouterGroup, path string,
	table tableOf[*T], name func(*T) string, set func(*T, uint64) statemachine.Command,
) {
	group.GET(path, listOf(o, table))
	group.GET(path+"/:name", getOf(o, table))
	group.PUT(path+"/:name", putOf(o, name, set))
}

func listOf[T any](o *operatorAPI, table tableOf[T]) gin.HandlerFunc {
	return func(g *gin.Context) {
		out := []T{}
		for _, v := range table(o.control.State()).All() {
			out = append(out, v)
		}
		g.JSON(http.StatusOK, out)
	}
}

func getOf[T any](o *operatorAPI, table tableOf[T]) gin.HandlerFunc {
	return func(g *gin.Context) {
		v, ok := table(o.control.State()).Get(g.Param("name"))
		if !ok {
			writeProblem(g, http.StatusNotFound, "not_found", "there is no "+g.Param("name"))
			return
		}
		g.JSON(http.StatusOK, v)
	}
}

// putOf proposes the object in the body, which must have the name in the path.
func putOf[T any](o *operatorAPI, name func(*T) string, set func(*T, uint64) statemachine.Command) gin.HandlerFunc {
	return func(g *gin.Context) {
		var object T
		expected, ok := expectedVersion(g)
		if !ok || !readStrict(g, &object) || !matchesPathName(g, name(&object)) {
			return
		}
		o.propose(g, set(&object, expected))
	}
}
