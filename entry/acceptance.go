package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	proposeTimeout = 5 * time.Second
	acceptTimeout  = 3 * time.Second
	acceptPoll     = 20 * time.Millisecond
	// maxBeats bounds the rounds of heartbeats that wait for answers at once.
	maxBeats = 4
)

// notAccepted tells an operator what an answer 202 means.
const notAccepted = "the change is in the log, but not yet known to be applied by more than half of the entries: " +
	"an entry that is cut off may work without it for now; read the status before relying on it"

// isAccepted reports whether no entry can work without the log and without the
// change at the offset: more than half of the entries have applied it, and
// those that have not can find a majority among themselves in no control state
// that they may still know. The map tells what each entry has said that it
// applies next.
func isAccepted(state *statemachine.State, applied map[string]uint64, offset uint64) bool {
	var missing []*statemachine.Entry
	for incarnation, entry := range state.Entries.All() {
		if applied[incarnation] <= offset {
			missing = append(missing, entry)
		}
	}
	for _, entry := range missing {
		if entry.Electorate.CanHaveMajority(len(missing)) {
			return false
		}
	}
	return membership.IsMajority(state.Entries.Len()-len(missing), state.Entries.Len())
}

// propose writes the command and answers with its acceptance.
func (o *operators) propose(g *gin.Context, command statemachine.Command) {
	accepted, ok := o.accept(g, command)
	if ok {
		g.JSON(acceptedStatus(accepted), accepted)
	}
}

// acceptedStatus is 200 for a change that is in force for good and 202 for one
// that is in the log only.
func acceptedStatus(a api.Accepted) int {
	if a.Detail != "" {
		return http.StatusAccepted
	}
	return http.StatusOK
}

// accept writes the command and waits until it is accepted or, if the operator
// asks for it, until every live entry has applied it. It answers a refusal
// itself.
func (o *operators) accept(g *gin.Context, command statemachine.Command) (api.Accepted, bool) {
	ctx, cancel := context.WithTimeout(g.Request.Context(), proposeTimeout)
	defer cancel()
	result, err := o.control.Propose(ctx, command)
	if err != nil {
		writeProposeError(g, err)
		return api.Accepted{}, false
	}
	if result.Rejection != nil {
		writeProblem(g, voidStatus(result.Rejection.Reason), string(result.Rejection.Reason), result.Rejection.Message)
		return api.Accepted{}, false
	}
	out := api.Accepted{Offset: result.Offset}
	accepted, applied := o.awaitAccepted(g.Request.Context(), result.Offset, g.Query("wait") == "applied")
	out.Applied = applied
	if !accepted {
		out.Detail = notAccepted
	}
	return out, true
}

// awaitAccepted sends heartbeats until enough entries are known to have
// applied the offset. It reports whether the change is accepted, and whether
// no live entry works without it.
func (o *operators) awaitAccepted(ctx context.Context, offset uint64, everywhere bool) (accepted, applied bool) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	written := time.Now()
	ticker := time.NewTicker(acceptPoll)
	defer ticker.Stop()
	beats := make(chan struct{}, maxBeats)
	for {
		said := o.saidApplied()
		accepted = isAccepted(o.control.State(), said, offset)
		applied = accepted && o.allApplied(said, offset, time.Since(written) > currentFor)
		if applied || accepted && !everywhere || ctx.Err() != nil {
			return accepted, applied
		}
		o.beat(ctx, beats)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// beat starts a round of heartbeats unless too many wait for answers.
func (o *operators) beat(ctx context.Context, beats chan struct{}) {
	select {
	case beats <- struct{}{}:
		go func() {
			o.membership.SendHeartbeats(ctx)
			<-beats
		}()
	default:
	}
}

// saidApplied returns what each reachable entry has said that it applies next.
func (o *operators) saidApplied() map[string]uint64 {
	out := map[string]uint64{o.id.incarnation: o.control.State().NextOffset}
	for _, member := range o.membership.Reachable() {
		out[member.Incarnation] = member.LastHeartbeat.GetApplied()
	}
	return out
}

// allApplied reports whether every member has applied the offset. Members
// that do not answer are passed over if silentAllowed is set: they have read
// the log or stopped admitting work.
func (o *operators) allApplied(said map[string]uint64, offset uint64, silentAllowed bool) bool {
	for incarnation := range o.control.State().Members() {
		next, heard := said[incarnation]
		if heard && next <= offset || !heard && !silentAllowed {
			return false
		}
	}
	return true
}
