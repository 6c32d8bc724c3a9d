package api

// Header names of the callers' interface.
const (
	HeaderTimeout        = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequest        = "Request-Id"
	HeaderVM             = "Request-Vm"
)
