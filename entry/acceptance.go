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
	proposeTimeout     = 5 * time.Second
	acceptTimeout      = 3 * time.Second
	acceptPollInterval = 20 * time.Millisecond
	// maxHeartbeatRounds bounds the number of concurrent heartbeat rounds.
	maxHeartbeatRounds = 4
)

// pendingDetail explains a 202 response to the operator.
const pendingDetail = "the change is in the log, but not yet known to be applied by more than half of the entries: " +
	"an entry that is cut off may work without it for now; read the status before relying on it"

// isAccepted reports whether no entry can admit work without having applied
// the change at the offset: more than half of the entries have applied it, and
// the others cannot form a majority in any control state that they may still
// hold. The map holds the next offset that each entry last reported.
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

// propose proposes the command and responds with its acceptance.
func (o *operatorAPI) propose(g *gin.Context, command statemachine.Command) {
	accepted, ok := o.accept(g, command)
	if ok {
		g.JSON(acceptedStatus(accepted), accepted)
	}
}

// acceptedStatus is 200 for an accepted change and 202 for one that is only in the
// log.
func acceptedStatus(a api.Accepted) int {
	if a.Detail != "" {
		return http.StatusAccepted
	}
	return http.StatusOK
}

// accept proposes the command and waits until it is accepted or, if the operator
// requests it, until every live entry has applied it. It writes the response
// to a rejected command itself.
func (o *operatorAPI) accept(g *gin.Context, command statemachine.Command) (api.Accepted, bool) {
	ctx, cancel := context.WithTimeout(g.Request.Context(), proposeTimeout)
	defer cancel()
	result, err := o.control.Propose(ctx, command)
	if err != nil {
		writeProposeError(g, err)
		return api.Accepted{}, false
	}
	if result.Rejection != nil {
		writeProblem(g, rejectionStatus(result.Rejection.Reason), string(result.Rejection.Reason), result.Rejection.Message)
		return api.Accepted{}, false
	}
	out := api.Accepted{Offset: result.Offset}
	accepted, applied := o.awaitAccepted(g.Request.Context(), result.Offset, g.Query("wait") == "applied")
	out.Applied = applied
	if !accepted {
		out.Detail = pendingDetail
	}
	return out, true
}

// awaitAccepted sends heartbeats until enough entries are known to have
// applied the offset. It reports whether the change is accepted, and whether
// every live entry has applied it.
func (o *operatorAPI) awaitAccepted(ctx context.Context, offset uint64, waitForAll bool) (accepted, applied bool) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	written := time.Now()
	ticker := time.NewTicker(acceptPollInterval)
	defer ticker.Stop()
	rounds := make(chan struct{}, maxHeartbeatRounds)
	for {
		offsets := o.appliedOffsets()
		accepted = isAccepted(o.control.State(), offsets, offset)
		applied = accepted && o.allApplied(offsets, offset, time.Since(written) > maxControlStaleness)
		if applied || accepted && !waitForAll || ctx.Err() != nil {
			return accepted, applied
		}
		o.startHeartbeats(ctx, rounds)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// startHeartbeats starts a heartbeat round unless too many are pending.
func (o *operatorAPI) startHeartbeats(ctx context.Context, rounds chan struct{}) {
	select {
	case rounds <- struct{}{}:
		go func() {
			o.membership.SendHeartbeats(ctx)
			<-rounds
		}()
	default:
	}
}

// appliedOffsets returns the next offset last reported by each reachable entry.
func (o *operatorAPI) appliedOffsets() map[string]uint64 {
	out := map[string]uint64{o.id.incarnation: o.control.State().NextOffset}
	for _, member := range o.membership.Reachable() {
		out[member.Incarnation] = member.LastHeartbeat.GetApplied()
	}
	return out
}

// allApplied reports whether every member has applied the offset. Members
// that do not respond are skipped if ignoreUnreachable is set: they have read
// the log or stopped admitting work.
func (o *operatorAPI) allApplied(offsets map[string]uint64, offset uint64, ignoreUnreachable bool) bool {
	for incarnation := range o.control.State().Members() {
		next, known := offsets[incarnation]
		if known && next <= offset || !known && !ignoreUnreachable {
			return false
		}
	}
	return true
}
