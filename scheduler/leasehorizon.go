package scheduler

import "time"

// foreignRequestWindow is for how long after its start an incarnation may execute requests that
// were meant for the one before: a request goes out by a status of up to statusFreshFor, and
// its attempts end within 4 s, with what they may take longer because the leader is late.
const foreignRequestWindow = statusFreshFor + 4*time.Second

// leaseHorizon is until when runs may exist on a worker, whichever of its incarnations has them.
// There is one per worker ID. It never moves back, and each decision that starts a task elsewhere
// without having seen its run end reads it.
//
// Once it has expired, no run exists there that a request so far could have started or kept. That
// holds unless a worker's clock is slower than maxClockDrift, or an incarnation executes requests
// that were meant for the one before for longer than foreignRequestWindow. The leader's steady
// clock counts, which does not run ahead: its time of day may step.
//
// The deadline of a request is a time on the clock of the incarnation that it is meant for. To
// another one it means nothing, so that only the platform's limit bounds the lease which it has
// extended there. Such foreign leases end at the platform's limit after the incarnation has
// answered the first poll under a token of its own: since then it rejects all other requests.
type leaseHorizon struct {
	// end is when the last lease must have expired.
	end time.Time
	// start, duration and cause are the lease and the event that have set it.
	start    time.Time
	duration time.Duration
	cause    string
	// longest is the longest lease that a worker gives.
	longest time.Duration
	// foreignEnd is when the last foreign lease must have expired; zero for none.
	foreignEnd time.Time
	// unconfirmed is set while requests that were meant for another incarnation, or were sent by
	// an earlier leader, may be executed: until the answer to a poll that was sent after since.
	unconfirmed bool
	since       time.Time
	// replacedHere reports that this leader has sent requests to the incarnation before.
	replacedHere bool
	// sharesToken reports that the incarnation has no token of its own, so that it rejects
	// nothing that was meant for the one before.
	sharesToken bool
}

// newLeaseHorizon returns the horizon of a worker of which the leader knows nothing. Earlier
// leaders may extend its leases up to the time earlier after the takeover.
func newLeaseHorizon(tookOverAt, now time.Time, earlier, longest time.Duration) leaseHorizon {
	h := leaseHorizon{longest: longest, since: tookOverAt, unconfirmed: now.Sub(tookOverAt) < foreignRequestWindow+longest}
	h.extend(tookOverAt, earlier, "takeover")
	return h
}

// extend records that leases may last for the duration from the time on.
func (h *leaseHorizon) extend(at time.Time, duration time.Duration, cause string) {
	if end := at.Add(leaseBound(duration)); end.After(h.end) {
		h.end, h.start, h.duration, h.cause = end, at, duration, cause
	}
}

// extendForeign records that a foreign lease may have been granted up to the time.
func (h *leaseHorizon) extendForeign(at time.Time, cause string) {
	h.foreignEnd = laterOf(h.foreignEnd, at.Add(leaseBound(h.longest)))
	h.extend(at, h.longest, cause)
}

// requested records a request that extends the leases of the incarnation that it is meant for.
func (h *leaseHorizon) requested(now time.Time, duration time.Duration) {
	h.extend(now, duration, "request")
}

// answered records the response to a request with the deadline, from an incarnation whose clock
// was at clockMillis. One that has started since the deadline was computed extends its leases by
// more than the leader meant to give; foreign reports that it has got the longest lease.
func (h *leaseHorizon) answered(now time.Time, deadlineMillis, clockMillis int64) (foreign bool) {
	granted := time.Duration(deadlineMillis-clockMillis) * time.Millisecond
	if granted >= h.longest {
		h.extendForeign(now, "response")
		return true
	}
	h.extend(now, granted, "response")
	return false
}

// unanswered records that another incarnation than the one that it was meant for may have
// executed a request with a deadline.
func (h *leaseHorizon) unanswered(now time.Time) { h.extendForeign(now, "no response") }

// replaced records that the worker has another incarnation than the one that requests so far
// were meant for. Any of them may have been executed by it.
func (h *leaseHorizon) replaced(now time.Time) {
	h.unconfirmed, h.replacedHere, h.since = true, true, now
	h.extendForeign(now, "replacement")
}

// restored records that an earlier leader is known to have sent requests to the incarnation
// before, until the time window after the takeover.
func (h *leaseHorizon) restored(tookOverAt time.Time, window time.Duration) {
	h.extendForeign(tookOverAt.Add(window), "replacement before the takeover")
}

// answeredPoll records the status from a poll that was sent at the time sent. The worker's clock
// has run since the incarnation's start. The first poll under the incarnation's own token, which is
// one that was sent after since, ends all foreign requests. Whether an earlier leader has sent any is
// not known: an incarnation that is old enough has no lease of them left.
func (h *leaseHorizon) answeredPoll(sent, now time.Time, clockMillis int64) {
	if !h.unconfirmed || sent.Before(h.since) {
		return
	}
	h.unconfirmed = h.sharesToken
	if age := time.Duration(clockMillis) * time.Millisecond; h.replacedHere || age < foreignRequestWindow+h.longest {
		h.extendForeign(now, "first poll of an incarnation")
	}
}

// hasForeign reports whether foreign leases may last.
func (h *leaseHorizon) hasForeign(now time.Time) bool {
	return !now.After(h.foreignEnd)
}

// expired reports whether all leases on the worker must have expired.
func (h *leaseHorizon) expired(now time.Time) bool {
	return now.After(h.end)
}

// leaseBound returns for how long a lease of the duration may last on a worker's slow clock.
func leaseBound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*maxClockDrift) + leaseMargin
}
