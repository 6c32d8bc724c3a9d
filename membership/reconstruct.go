package membership

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// Errors of answers that do not fit the question. The asker drops such an answer
// and asks for the whole view.
var (
	errNoBase        = errors.New("a delta answers a question that named no view")
	errOlderVersion  = errors.New("a delta leads to an older version than the one named")
	errUnknownTeam   = errors.New("a delta names a team that the view lacks")
	errNoIncarnation = errors.New("a whole heartbeat names no incarnation")
)

// isDoubtful reports whether an answer did not fit its question.
func isDoubtful(err error) bool {
	return errors.IsAny(err, errNoBase, errOlderVersion, errUnknownTeam, errNoIncarnation)
}

// NewQuery returns the heartbeat that asks for what has changed since base, the
// answer that is held of a member, or for all if base is nil.
func NewQuery(base *peerpb.Heartbeat) *peerpb.Heartbeat {
	if base.GetVersion() == 0 {
		return &peerpb.Heartbeat{}
	}
	return &peerpb.Heartbeat{HeldIncarnation: HashIncarnation(base.GetIncarnation()), HeldVersion: base.GetVersion()}
}

// Reconstruct returns the whole heartbeat that an answer to Question(base)
// stands for. It changes neither.
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

// changedTeams returns the loads, which are sorted by team, with the changes in
// place.
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

// NewerMember returns what is known of an incarnation after an answer, which may be
// late. The higher version was told later: an entry takes the version of an
// answer before the rest. Answers of one version are ordered by the time at
// which they were asked for.
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
