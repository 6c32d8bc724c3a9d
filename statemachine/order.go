package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

const (
	// ClaimWindow is the age beyond which an idempotency key is rejected and its
	// claim may be pruned.
	ClaimWindow = 24 * time.Hour
	// MaxKeyClockSkew is how far an idempotency key may lie in the future.
	MaxKeyClockSkew = 5 * time.Minute
	// MaxRecordedAnswerBytes bounds the answer that a settled claim retains.
	MaxRecordedAnswerBytes = 32 << 10
	// maxOrdersPrunedPerRecord bounds the claims that one record prunes.
	maxOrdersPrunedPerRecord = 8
)

// OrderOutcome is the outcome of a claimed order. The zero value means that it
// is not settled: it may still run.
type OrderOutcome string

const (
	// OrderAnswered means that the order ran and returned an answer.
	OrderAnswered OrderOutcome = "answered"
	// OrderFailed means that the order ran and reported a failure.
	OrderFailed OrderOutcome = "failed"
	// OrderReleased means that the order has not run under this claim and never
	// will. It may be claimed again.
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
	// Answer is the answer, unless it was too large to retain.
	Answer []byte `json:"answer,omitempty"`
	// AnswerBytes is the size of the answer, retained or not.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Message states why the order failed or was released.
	Message string `json:"message,omitempty"`
}

// OrderID returns the ID of the team's order for the key. Keys are scoped to
// their team. It is also the ID of the order's task.
func OrderID(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return "order-" + hex.EncodeToString(sum[:16])
}

// orderAgeKey returns a key that sorts claims by the time of their keys.
func orderAgeKey(keyMS int64, id string) string {
	return fmt.Sprintf("%016x-%s", keyMS, id)
}

// pruneOrders advances the horizon to the record's time and deletes a few of
// the claims before it. A key before the horizon can no longer be claimed, so a
// pruned order never runs again, whatever the writers' clocks show.
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
