package fleetentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// maxBatchCalls bounds the calls of one append.
	maxBatchCalls = 256
	// maxBatchBytes bounds the records of one append: half of what the store takes in one
	// call.
	maxBatchBytes = 1 << 20
	// maxRecordBytes is the largest record that the store takes.
	maxRecordBytes = 256 << 10
	// batchDelay lets the records of several callers share an append.
	batchDelay = 3 * time.Millisecond
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = 60 * time.Millisecond
	// refusalRetryWindow is how long refused appends are retried; the client then
	// does better with another entry.
	refusalRetryWindow = 130 * time.Millisecond
)

// errRecordTooLarge says that the store takes no record of the call's size.
var errRecordTooLarge = &provider.Error{
	Op: "ledger.append", Outcome: provider.Refused, Code: provider.CodeInvalid, Message: "the store takes no record of this size",
}

// Appender batches the records of concurrent callers. A record may be appended more
// than once.
type Appender struct {
	store Store
	queue chan *appendCall
	// onStored runs after records have been stored, with the stream's index.
	onStored func(index int, records []fleet.Record)
	// timeout and selector are used by Run alone.
	timeout  appendTimeout
	selector streamSelector
}

type appendCall struct {
	records []fleet.Record
	// retryRefusalsUntil bounds the retries of refusals, deadline those of attempts
	// without a response.
	retryRefusalsUntil time.Time
	deadline           time.Time
	result             chan error
	// inDoubt is set once an attempt may have taken effect.
	inDoubt bool
	// phase decides whether the call is sent or abandoned by its caller first.
	phase atomic.Int32
}

// Phases of a call.
const (
	callQueued int32 = iota
	callSent
	callAbandoned
)

// NewAppender returns an appender of the node; Run must run for it to work. Stored
// records are applied to the follower at once.
func NewAppender(store Store, follower *Follower, node string) *Appender {
	return &Appender{store: store, onStored: follower.ApplyLocal, selector: newStreamSelector(node), queue: make(chan *appendCall, 4*maxBatchCalls)}
}

// Append returns once the records are stored. The error's outcome is Refused only if
// no attempt can have taken effect.
func (a *Appender) Append(ctx context.Context, records []fleet.Record, deadline time.Time) error {
	if size := recordBytes(records); size > maxRecordBytes {
		// An append with it would fail for all the calls that share it.
		return errRecordTooLarge
	}
	retryRefusalsUntil := time.Now().Add(refusalRetryWindow)
	if deadline.Before(retryRefusalsUntil) {
		retryRefusalsUntil = deadline
	}
	call := &appendCall{records: records, retryRefusalsUntil: retryRefusalsUntil, deadline: deadline, result: make(chan error, 1)}
	select {
	case a.queue <- call:
	default:
		return &provider.Error{Op: "ledger.append", Outcome: provider.Refused, Code: provider.CodeFull, Message: "too many calls wait for the store"}
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-call.result:
		return err
	case <-ctx.Done():
		return call.abandon("the caller left")
	case <-timer.C:
		return call.abandon("the store has not answered in time")
	}
}

// abandon ends the wait of the call's caller: an unsent call is never sent.
func (c *appendCall) abandon(reason string) error {
	outcome := provider.Unknown
	if c.phase.CompareAndSwap(callQueued, callAbandoned) {
		outcome = provider.Refused
	}
	return &provider.Error{Op: "ledger.append", Outcome: outcome, Code: provider.CodeTimeout, Message: reason}
}

// Run serves calls until the context ends. One batch is in flight at a time: calls
// that arrive meanwhile share the next append.
func (a *Appender) Run(ctx context.Context) {
	// left is a call that did not fit into the batch before.
	var left *appendCall
	for {
		first := left
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-a.queue:
			}
			sleep(ctx, batchDelay)
		}
		if ctx.Err() != nil {
			return
		}
		var batch []*appendCall
		batch, left = a.collect(first)
		a.appendBatch(ctx, batch)
	}
}

// collect returns the calls that wait, as many as one append takes, and the one after them
// if that does not fit.
func (a *Appender) collect(first *appendCall) (batch []*appendCall, left *appendCall) {
	batch = []*appendCall{first}
	size := recordBytes(first.records)
	for len(batch) < maxBatchCalls {
		select {
		case next := <-a.queue:
			size += recordBytes(next.records)
			if size > maxBatchBytes {
				return batch, next
			}
			batch = append(batch, next)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// recordBytes is what the records take in the store.
func recordBytes(records []fleet.Record) int {
	size := 0
	for i := range records {
		size += 1 + len(records[i].Key) + len(records[i].Value)
	}
	return size
}

// appendBatch appends one batch, with retries while its callers wait.
func (a *Appender) appendBatch(ctx context.Context, batch []*appendCall) {
	batch = markSent(batch)
	for len(batch) > 0 {
		var records []fleet.Record
		for _, call := range batch {
			records = append(records, call.records...)
		}
		sent := time.Now()
		attemptCtx, cancel := context.WithTimeout(ctx, a.timeout.next())
		index := a.selector.pick(sent)
		_, _, err := a.store.Append(attemptCtx, jobStreams[index], records, fleet.AppendOptions{})
		cancel()
		now := time.Now()
		a.timeout.observe(now.Sub(sent), err)
		a.selector.observe(now, now.Sub(sent), err)
		if err == nil {
			a.onStored(index, records)
			for _, call := range batch {
				call.result <- nil
			}
			return
		}
		batch = answerExpired(batch, err, now)
		if len(batch) > 0 {
			sleep(ctx, appendRetryDelay)
		}
	}
}

// markSent returns the calls whose callers still wait, and marks them as sent.
func markSent(batch []*appendCall) []*appendCall {
	var sent []*appendCall
	for _, call := range batch {
		if call.phase.CompareAndSwap(callQueued, callSent) {
			sent = append(sent, call)
		}
	}
	return sent
}

// answerExpired answers the calls whose time is up and returns the others.
func answerExpired(batch []*appendCall, err error, now time.Time) []*appendCall {
	var waiting []*appendCall
	for _, call := range batch {
		if provider.OutcomeOf(err) != provider.Refused {
			call.inDoubt = true
		}
		deadline := call.retryRefusalsUntil
		if call.inDoubt {
			deadline = call.deadline
		}
		if now.Add(appendRetryDelay).Before(deadline) && provider.CodeOf(err) != provider.CodeInvalid {
			waiting = append(waiting, call)
			continue
		}
		outcome := provider.Refused
		if call.inDoubt {
			outcome = provider.Unknown
		}
		call.result <- &provider.Error{Op: "ledger.append", Outcome: outcome, Code: provider.CodeOf(err), Message: err.Error()}
	}
	return waiting
}
