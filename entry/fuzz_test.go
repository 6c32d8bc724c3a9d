package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"
)

// FuzzParseTimeout checks that no text yields a timeout out of bounds.
func FuzzParseTimeout(f *testing.F) {
	for _, seed := range []string{"", "0", "1.5", "-1", "NaN", "Inf", "1e308", "1e-30", "86400", "86401", "0x1p4", "soon"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		timeout, err := parseTimeout(text)
		if err != nil || text == "" {
			require.Zero(t, timeout)
			return
		}
		require.Positive(t, timeout)
		require.LessOrEqual(t, timeout, maxTimeout)
	})
}

// FuzzClientHeaders checks that no header of a client or operator makes the
// entry crash, accept a key that was not sent or parse an invalid version.
func FuzzClientHeaders(f *testing.F) {
	for _, seed := range []string{"", "Bearer ", "Bearer ak_1", "bearer ak_1", "Basic eDp5", `"3"`, "18446744073709551616", "-1", "*", "W/\"3\"", "\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		recorder := httptest.NewRecorder()
		g, _ := gin.CreateTestContext(recorder)
		g.Request = httptest.NewRequest(http.MethodPost, "/", nil)
		g.Request.Header["Authorization"] = []string{text}
		g.Request.Header["If-Match"] = []string{text}
		if key := bearer(g); key != "" {
			require.Equal(t, text, "Bearer "+key)
		}
		version, ok := expectedVersion(g)
		if !ok {
			require.Equal(t, http.StatusBadRequest, recorder.Code)
			require.Contains(t, recorder.Body.String(), `"not_run"`)
			return
		}
		if version != 0 {
			require.Equal(t, strconv.FormatUint(version, 10), strings.TrimLeft(strings.Trim(text, `"`), "0"))
		}
	})
}
