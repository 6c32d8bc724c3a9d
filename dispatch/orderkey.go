package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// orderKey is the name that a caller gives to an order.
type orderKey struct {
	text string
	ms   int64
}

// parseOrderKey reads an idempotency key, which must be a UUIDv7 (RFC 9562)
// whose own time lies in the window. Without a key the Outcome says why.
func parseOrderKey(text string, now time.Time) (orderKey, Outcome) {
	if text == "" {
		return orderKey{}, notRun(CodeBadIdempotencyKey, "the queue takes work only with an Idempotency-Key", 0)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return orderKey{}, notRun(CodeBadIdempotencyKey, "the Idempotency-Key must be a UUID of version 7", 0)
	}
	key := orderKey{text: id.String(), ms: keyTime(id)}
	age := now.UnixMilli() - key.ms
	if age > statemachine.ClaimWindow.Milliseconds() || -age > statemachine.MaxKeyClockSkew.Milliseconds() {
		return orderKey{}, keyOutsideWindow()
	}
	return key, Outcome{}
}

// keyTime returns the key's own time in Unix milliseconds, its first 48 bits.
func keyTime(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

func keyOutsideWindow() Outcome {
	return notRun(CodeKeyOutsideWindow, "this submission did not run: the time in the Idempotency-Key is more than "+
		statemachine.ClaimWindow.String()+" old or "+statemachine.MaxKeyClockSkew.String()+" ahead; what an earlier submission did is not known here", 0)
}
