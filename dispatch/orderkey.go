package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// orderKey is a caller's idempotency key of an order.
type orderKey struct {
	text   string
	timeMS int64
}

// parseOrderKey parses an idempotency key, which must be a UUIDv7 (RFC 9562)
// whose timestamp lies in the window. Without a key the Outcome has the reason.
func parseOrderKey(text string, now time.Time) (orderKey, Outcome) {
	if text == "" {
		return orderKey{}, notRun(CodeBadIdempotencyKey, "the queue requires an Idempotency-Key", 0)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return orderKey{}, notRun(CodeBadIdempotencyKey, "the Idempotency-Key must be a version 7 UUID", 0)
	}
	key := orderKey{text: id.String(), timeMS: keyTime(id)}
	age := now.UnixMilli() - key.timeMS
	if age > statemachine.ClaimWindow.Milliseconds() || -age > statemachine.MaxKeyClockSkew.Milliseconds() {
		return orderKey{}, keyOutsideWindow()
	}
	return key, Outcome{}
}

// keyTime returns the key's timestamp, its first 48 bits, in Unix milliseconds.
func keyTime(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

func keyOutsideWindow() Outcome {
	return notRun(CodeKeyOutsideWindow, "this submission did not run: the time in the Idempotency-Key is more than "+
		statemachine.ClaimWindow.String()+" old or "+statemachine.MaxKeyClockSkew.String()+" ahead; the outcome of earlier submissions is unknown here", 0)
}
