package fleetentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// maxGroup bounds the records of one append.
	maxGroup = 256
	// groupPause lets the records of several callers share an append.
	groupPause = 3 * time.Millisecond
	// appendRetry is the pause before a failed append is tried again.
	appendRetry = 60 * time.Millisecond
	// refusedPatience is how long a caller waits for a store that refuses: it is
	// better off with another entry.
	refusedPatience = 130 * time.Millisecond
)

// Appender appends the records of several callers together. Every record may be
// appended more than once.
type Appender struct {
	store Store
	queue chan *appendCall
	// stored runs after records have been stored, with the stream's index.
	stored func(index int, records []fleet.Record)
	// patience and choice are used by Run alone.
	patience appendPatience
	choice   streamChoice
}

type appendCall struct {
	records []fleet.Record
	// refusedUntil is how long refusals are tried again, until how long tries
	// without an answer are.
	refusedUntil time.Time
	until        time.Time
	result       chan error
	// unknown tells that an earlier try may have taken effect.
	unknown bool
	// phase settles whether the call is sent or its caller has given up before.
	phase atomic.Int32
}

// Phases of a call.
const (
	callWaits int32 = iota
	callSent
	callWithdrawn
)

// NewAppender returns an appender of the node; Run must run for it to work. The
// follower learns at once of what has been stored.
func NewAppender(store Store, follower *Follower, node string) *Appender {
	return &Appender{store: store, stored: follower.ApplyLocal, choice: newStreamChoice(node), queue: make(chan *appendCall, 4*maxGroup)}
}

// Append returns once the records are stored. The error's outcome is Refused
// only if no try can have taken effect.
func (a *Appender) Append(ctx context.Context, records []fleet.Record, until time.Time) error {
	refusedUntil := time.Now().Add(refusedPatience)
	if until.Before(refusedUntil) {
		refusedUntil = until
	}
	call := &appendCall{records: records, refusedUntil: refusedUntil, until: until, result: make(chan error, 1)}
	select {
	case a.queue <- call:
	default:
		return &provider.Error{Op: "ledger.append", Outcome: provider.Refused, Code: provider.CodeFull, Message: "too many calls wait for the store"}
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case err := <-call.result:
		return err
	case <-ctx.Done():
		return call.giveUp("the caller left")
	case <-timer.C:
		return call.giveUp("the store has not answered in time")
	}
}

// giveUp ends the wait of the call's caller: what has not been sent never will be.
func (c *appendCall) giveUp(why string) error {
	outcome := provider.Unknown
	if c.phase.CompareAndSwap(callWaits, callWithdrawn) {
		outcome = provider.Refused
	}
	return &provider.Error{Op: "ledger.append", Outcome: outcome, Code: provider.CodeTimeout, Message: why}
}

// Run serves calls until the context ends. One group is under way at a time:
// what comes meanwhile shares the next append.
func (a *Appender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.queue:
			sleep(ctx, groupPause)
			group := []*appendCall{first}
			for len(group) < maxGroup {
				select {
				case next := <-a.queue:
					group = append(group, next)
					continue
				default:
				}
				break
			}
			a.storeGroup(ctx, group)
		}
	}
}

// storeGroup appends one group, again and again while its callers wait.
func (a *Appender) storeGroup(ctx context.Context, group []*appendCall) {
	group = sendable(group)
	for len(group) > 0 {
		var records []fleet.Record
		for _, call := range group {
			records = append(records, call.records...)
		}
		sent := time.Now()
		tryCtx, cancel := context.WithTimeout(ctx, a.patience.timeout())
		index := a.choice.pick(sent)
		_, _, err := a.store.Append(tryCtx, jobStreams[index], records, fleet.AppendOptions{})
		cancel()
		now := time.Now()
		a.patience.learn(now.Sub(sent), err)
		a.choice.learn(now, now.Sub(sent), err)
		if err == nil {
			a.stored(index, records)
			for _, call := range group {
				call.result <- nil
			}
			return
		}
		group = remaining(group, err, now)
		if len(group) > 0 {
			sleep(ctx, appendRetry)
		}
	}
}

// sendable returns the calls whose callers still wait, and marks them as sent.
func sendable(group []*appendCall) []*appendCall {
	var out []*appendCall
	for _, call := range group {
		if call.phase.CompareAndSwap(callWaits, callSent) {
			out = append(out, call)
		}
	}
	return out
}

// remaining answers the calls whose time is up and returns the others.
func remaining(group []*appendCall, err error, now time.Time) []*appendCall {
	var left []*appendCall
	for _, call := range group {
		if provider.OutcomeOf(err) != provider.Refused {
			call.unknown = true
		}
		until := call.refusedUntil
		if call.unknown {
			until = call.until
		}
		if now.Add(appendRetry).Before(until) && provider.CodeOf(err) != provider.CodeInvalid {
			left = append(left, call)
			continue
		}
		outcome := provider.Refused
		if call.unknown {
			outcome = provider.Unknown
		}
		call.result <- &provider.Error{Op: "ledger.append", Outcome: outcome, Code: provider.CodeOf(err), Message: err.Error()}
	}
	return left
}
