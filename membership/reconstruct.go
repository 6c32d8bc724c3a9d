package membership

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Errors of responses that do not match the query. The sender of the query drops
// such a response and requests the full view.
var (
	errNoBase        = errors.New("delta response to a query without a version")
	errOlderVersion  = errors.New("delta to an older version than the queried one")
	errUnknownTeam   = errors.New("delta of a team that the view lacks")
	errNoIncarnation = errors.New("full heartbeat without an incarnation")
)

// isMismatch reports whether a response did not match its query.
func isMismatch(err error) bool {
	return errors.IsAny(err, errNoBase, errOlderVersion, errUnknownTeam, errNoIncarnation)
}

// NewQuery returns the heartbeat that requests the changes since base, the last
// response of a member, or the full view if base is nil.
func NewQuery(base *peerpb.Heartbeat) *peerpb.Heartbeat {
	if base.GetVersion() == 0 {
		return &peerpb.Heartbeat{}
	}
	return &peerpb.Heartbeat{HeldIncarnation: HashIncarnation(base.GetIncarnation()), HeldVersion: base.GetVersion()}
}

// Reconstruct returns the full heartbeat from the response to NewQuery(base).
// It modifies neither.
func Reconstruct(base, answer *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	switch {
	case !answer.GetDelta() && answer.GetIncarnation() == "":
		return nil, errNoIncarnation
	case !answer.GetDelta():
		return answer, nil
	case base.GetVersion() == 0:
		return nil, errNoBase
	case answer.GetVersion() < base.GetVersion():
		return nil, errOlderVersion
	}
	teams, err := changedTeams(base.GetTeams(), answer.GetTeams())
	if err != nil {
		return nil, err
	}
	out := &peerpb.Heartbeat{
		Incarnation: base.GetIncarnation(), Version: answer.GetVersion(), AvailabilityZone: base.GetAvailabilityZone(),
		Applied: answer.GetApplied(), ControlAgeMs: answer.GetControlAgeMs(), LogReadable: answer.GetLogReadable(), Leaving: answer.GetLeaving(),
		Teams: teams, Reachable: base.GetReachable(),
	}
	if answer.GetReachableChanged() {
		out.Reachable = answer.GetReachable()
	}
	return out, nil
}

// changedTeams returns the loads, which are sorted by team, with the changes
// applied.
func changedTeams(loads, changes []*peerpb.TeamLoad) ([]*peerpb.TeamLoad, error) {
	if len(changes) == 0 {
		return loads, nil
	}
	out := slices.Clone(loads)
	for _, change := range changes {
		i, ok := slices.BinarySearchFunc(out, change.GetTeam(), func(load *peerpb.TeamLoad, team string) int {
			return cmp.Compare(load.GetTeam(), team)
		})
		if !ok {
			return nil, errUnknownTeam
		}
		out[i] = change
	}
	return out, nil
}

// NewerMember returns the newer of the known response of an incarnation and
// another, which may be late. A higher version was sent later: an entry reads
// the version of a response before the rest. Responses of one version are
// ordered by the time of their query.
func NewerMember(known, answer Member) Member {
	if order := cmp.Compare(answer.LastHeartbeat.GetVersion(), known.LastHeartbeat.GetVersion()); order != 0 {
		if order > 0 {
			return answer
		}
		return known
	}
	if known.SentAt.After(answer.SentAt) {
		return known
	}
	return answer
}
