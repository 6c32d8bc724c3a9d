package statemachine

const (
	// KindClaim is the kind of Claim.
	KindClaim Kind = "claim"
	// KindClaimSettle is the kind of ClaimSettle.
	KindClaimSettle Kind = "claim_settle"
	// KindStreamCountSet is the kind of StreamCountSet.
	KindStreamCountSet Kind = "streams_fix"
)

// Claim reserves an order for one start on one target. It is rejected unless it
// is the first of its key, or the previous claim was released. The start may be
// sent only after the claim has been read back and was not rejected.
type Claim struct {
	// Key is the client's idempotency key.
	Key string `json:"key"`
	// KeyMS is the timestamp of the key in Unix milliseconds.
	KeyMS int64  `json:"key_ms"`
	Team  string `json:"team"`
	// BodyHash is the hash of the queue and the body.
	BodyHash string `json:"body_hash"`
	// Target is the VM that the order is bound to.
	Target string `json:"target"`
	// Address is the VM's address.
	Address string `json:"address"`
	// Lease is the slot lease that the order is bound to.
	Lease string `json:"lease"`
	// Record names the VM's task record when the slot lease was granted.
	Record string `json:"record"`
	// Started is the number of tasks that the VM had started by then.
	Started uint64 `json:"started"`
}

// Kind implements Command.
func (*Claim) Kind() Kind { return KindClaim }

func (c *Claim) apply(next *State, ctx applyContext) *Rejection {
	next.pruneOrders(ctx.atMS)
	if c.KeyMS < next.OrderHorizonMS {
		return rejectf(ReasonExpired, "the key is older than %s", ClaimWindow)
	}
	if c.KeyMS > ctx.atMS+MaxKeyClockSkew.Milliseconds() {
		return rejectf(ReasonExpired, "the key is more than %s in the future", MaxKeyClockSkew)
	}
	id := OrderID(c.Team, c.Key)
	attempt := 1
	if current, ok := next.Orders.Get(id); ok {
		if current.Outcome != OrderReleased || current.BodyHash != c.BodyHash {
			return rejectf(ReasonExists, "the order is claimed by %s", current.Holder)
		}
		attempt = current.Attempt + 1
	}
	next.Orders = next.Orders.Set(id, &Order{Claim: *c, Attempt: attempt, Holder: ctx.writer})
	next.UnsettledOrders = next.UnsettledOrders.Set(id, attempt)
	next.OrdersByAge = next.OrdersByAge.Set(orderAgeKey(c.KeyMS, id), id)
	return nil
}

// ClaimSettle records the outcome of a claim. Only the first one applies.
type ClaimSettle struct {
	// Order is the order's ID.
	Order string `json:"order"`
	// Attempt is the number of the claim that is settled.
	Attempt     int          `json:"attempt"`
	Outcome     OrderOutcome `json:"end"`
	Answer      []byte       `json:"answer,omitempty"`
	AnswerBytes int          `json:"answer_bytes,omitempty"`
	Message     string       `json:"message,omitempty"`
}

// Kind implements Command.
func (*ClaimSettle) Kind() Kind { return KindClaimSettle }

func (c *ClaimSettle) apply(next *State, ctx applyContext) *Rejection {
	next.pruneOrders(ctx.atMS)
	current, ok := next.Orders.Get(c.Order)
	if !ok {
		return rejectf(ReasonNotFound, "order %s is not claimed", c.Order)
	}
	if current.Attempt != c.Attempt {
		return rejectf(ReasonVersion, "order %s is at claim %d, not %d", c.Order, current.Attempt, c.Attempt)
	}
	if current.Outcome != "" {
		return rejectf(ReasonExists, "order %s is settled as %s", c.Order, current.Outcome)
	}
	switch c.Outcome {
	case OrderAnswered, OrderFailed, OrderReleased:
	default:
		return rejectf(ReasonInvalid, "%q is not an order outcome", c.Outcome)
	}
	if len(c.Answer) > MaxRecordedAnswerBytes {
		return rejectf(ReasonInvalid, "an answer of %d bytes is too large to retain", len(c.Answer))
	}
	settled := *current
	settled.Outcome, settled.Answer, settled.AnswerBytes, settled.Message = c.Outcome, c.Answer, c.AnswerBytes, c.Message
	next.Orders = next.Orders.Set(c.Order, &settled)
	next.UnsettledOrders = next.UnsettledOrders.Delete(c.Order)
	return nil
}

// StreamCountSet sets the number of streams that a kind of work is partitioned
// into. The first one is final: with another number the same key would map to
// another stream, where the earlier claim is not visible.
type StreamCountSet struct {
	// Prefix is the common prefix of the stream names.
	Prefix string `json:"prefix"`
	Count  int    `json:"count"`
}

// Kind implements Command.
func (*StreamCountSet) Kind() Kind { return KindStreamCountSet }

func (c *StreamCountSet) apply(next *State, _ applyContext) *Rejection {
	if count, ok := next.StreamCounts.Get(c.Prefix); ok {
		return rejectf(ReasonExists, "%s already has %d streams", c.Prefix, count)
	}
	if c.Prefix == "" || c.Count < 1 {
		return rejectf(ReasonInvalid, "%q cannot have %d streams", c.Prefix, c.Count)
	}
	next.StreamCounts = next.StreamCounts.Set(c.Prefix, c.Count)
	return nil
}

// claimCommands are the commands that claim and settle orders.
var claimCommands = map[Kind]newCommand{
	KindClaim:          func() Command { return &Claim{} },
	KindClaimSettle:    func() Command { return &ClaimSettle{} },
	KindStreamCountSet: func() Command { return &StreamCountSet{} },
}
