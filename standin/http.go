package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError rejects the call, which had no effect.
func writeError(w http.ResponseWriter, status int, code provider.Code, message string) {
	writeOutcome(w, status, provider.ErrorBody{Code: code, Outcome: provider.Refused, Message: message})
}

func writeOutcome(w http.ResponseWriter, status int, body provider.ErrorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, err.Error())
		return false
	}
	return true
}

func queryInt(r *http.Request, name string, fallback int) int {
	v, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return fallback
	}
	return v
}

// sleepOrCancel waits for d or until the client disconnects.
func sleepOrCancel(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}
