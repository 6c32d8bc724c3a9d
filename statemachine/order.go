package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

const (
	// ClaimWindow is the age beyond which an idempotency key is refused and
	// its claim may be forgotten.
	ClaimWindow = 24 * time.Hour
	// MaxKeyClockSkew is the time by which an idempotency key may lie ahead.
	MaxKeyClockSkew = 5 * time.Minute
	// MaxRecordedAnswerBytes bounds the answer that a settled claim keeps, in bytes.
	MaxRecordedAnswerBytes = 32 << 10
	// maxOrdersPrunedPerRecord bounds the claims that one record drops.
	maxOrdersPrunedPerRecord = 8
)

// OrderOutcome tells how a claimed order ended. The zero value means that it is
// open: it may run, now or later.
type OrderOutcome string

const (
	// OrderAnswered means that the order ran and answered.
	OrderAnswered OrderOutcome = "answered"
	// OrderFailed means that the order ran and reported a failure.
	OrderFailed OrderOutcome = "failed"
	// OrderReleased means that the order did not begin under this claim and
	// never will. It may be claimed again.
	OrderReleased OrderOutcome = "released"
)

// Order is the claim of a non-idempotent request and its outcome.
type Order struct {
	Claim
	// Attempt counts the claims of the order, from 1.
	Attempt int `json:"attempt"`
	// Holder is the entry incarnation that claimed the order.
	Holder  string       `json:"holder"`
	Outcome OrderOutcome `json:"end,omitempty"`
	// Answer is the answer, unless it was too large to keep.
	Answer []byte `json:"answer,omitempty"`
	// AnswerBytes is the size of the answer, kept or not.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Message says why the order failed or was released.
	Message string `json:"message,omitempty"`
}

// OrderID returns the ID of the order that the team names by the key. Teams
// do not share keys. It is also the ID of the order's task.
func OrderID(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return "order-" + hex.EncodeToString(sum[:16])
}

// orderAgeKey orders the claims by the time of their keys.
func orderAgeKey(keyMS int64, id string) string {
	return fmt.Sprintf("%016x-%s", keyMS, id)
}

// pruneOrders moves the horizon up to the record's time and drops a few of
// the claims before it. A key before the horizon cannot be claimed any more,
// so a forgotten order never runs again, whatever the writers' clocks say.
func (s *State) pruneOrders(atMS int64) {
	s.OrderHorizonMS = max(s.OrderHorizonMS, atMS-ClaimWindow.Milliseconds())
	horizon := orderAgeKey(max(0, s.OrderHorizonMS), "")
	var expired []string
	for index, id := range s.OrdersByAge.All() {
		if index >= horizon || len(expired) == maxOrdersPrunedPerRecord {
			break
		}
		expired = append(expired, index)
		s.Orders = s.Orders.Delete(id)
		s.UnsettledOrders = s.UnsettledOrders.Delete(id)
	}
	for _, index := range expired {
		s.OrdersByAge = s.OrdersByAge.Delete(index)
	}
}
