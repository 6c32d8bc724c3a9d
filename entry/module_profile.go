package entry

import (
	"net/http/pprof"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
)

// profileModule lets operators profile the running entry with pprof, at
// /v1/debug/pprof on the operators' listener.
var profileModule = fx.Module("profile",
	fx.Provide(fx.Annotate(newProfileRoutes, fx.ResultTags(`group:"operator_routes"`))),
)

func newProfileRoutes() operatorRoutes {
	return func(group *gin.RouterGroup) {
		group.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
		group.GET("/debug/pprof/trace", gin.WrapF(pprof.Trace))
		for _, name := range []string{"allocs", "goroutine", "heap"} {
			group.GET("/debug/pprof/"+name, gin.WrapH(pprof.Handler(name)))
		}
	}
}
