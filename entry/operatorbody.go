package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/settings"
)

// maxOperatorBody bounds the body of an operator's request, in bytes.
const maxOperatorBody = 1 << 20

// readStrict decodes and validates the JSON body, or responds with the error.
func readStrict(g *gin.Context, out any) bool {
	g.Request.Body = http.MaxBytesReader(g.Writer, g.Request.Body, maxOperatorBody+1)
	body, err := g.GetRawData()
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		writeProblem(g, http.StatusRequestEntityTooLarge, "body_too_large", "the body is over "+strconv.Itoa(maxOperatorBody)+" bytes")
		return false
	}
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

func matchesPathName(g *gin.Context, name string) bool {
	if name == g.Param("name") {
		return true
	}
	writeProblem(g, http.StatusBadRequest, "invalid", "name: "+strconv.Quote(name)+" must be "+strconv.Quote(g.Param("name"))+", as in the path")
	return false
}
