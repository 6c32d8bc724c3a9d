package membership

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// ViewHistory numbers the versions of an entry's own view and returns the
// changes since one of them. It keeps no state per peer, reads no clock and is
// not safe for concurrent use.
type ViewHistory struct {
	incarnation string
	// version is that of the latest view, 0 before the first.
	version uint64
	// oldestDeltaVersion is the first version with the zone and teams of the
	// latest: there are no deltas from earlier ones.
	oldestDeltaVersion uint64
	view               View
	// teamVersions holds the version of each team's latest change, in the order
	// of the view.
	teamVersions     []uint64
	reachableVersion uint64
}

// NewViewHistory returns the history of an incarnation without a view.
func NewViewHistory(incarnation string) *ViewHistory {
	return &ViewHistory{incarnation: incarnation}
}

// Update sets the latest view. An equal one keeps its version.
func (h *ViewHistory) Update(next View) {
	next.sort()
	if h.version == 0 || !next.hasTeamsOf(h.view) {
		h.reset(next)
		return
	}
	version := h.version + 1
	for i, load := range next.Teams {
		if !sameLoad(load, h.view.Teams[i]) {
			h.teamVersions[i] = version
			h.version = version
		}
	}
	if !slices.Equal(next.Reachable, h.view.Reachable) {
		h.reachableVersion = version
		h.version = version
	}
	h.view = next
}

// reset sets a view to which there is no delta.
func (h *ViewHistory) reset(next View) {
	h.version++
	h.oldestDeltaVersion = h.version
	h.view = next
	h.reachableVersion = h.version
	h.teamVersions = slices.Repeat([]uint64{h.version}, len(next.Teams))
}

// Answer returns the response to a query: the changes since the version that it
// names, or the full view if that is not known to be a version of this
// incarnation with the same teams. Update must have been called before.
func (h *ViewHistory) Answer(query *peerpb.Heartbeat) *peerpb.Heartbeat {
	heldVersion := query.GetHeldVersion()
	if query.GetHeldIncarnation() != HashIncarnation(h.incarnation) || heldVersion < h.oldestDeltaVersion || heldVersion > h.version {
		return h.fullView()
	}
	return h.delta(heldVersion)
}

func (h *ViewHistory) fullView() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Incarnation: h.incarnation, Version: h.version, AvailabilityZone: h.view.AvailabilityZone,
		Teams: h.view.Teams, Reachable: h.view.Reachable,
	}
}

func (h *ViewHistory) delta(heldVersion uint64) *peerpb.Heartbeat {
	out := &peerpb.Heartbeat{Delta: true, Version: h.version}
	if heldVersion == h.version {
		return out
	}
	for i, at := range h.teamVersions {
		if at > heldVersion {
			out.Teams = append(out.Teams, h.view.Teams[i])
		}
	}
	if h.reachableVersion > heldVersion {
		out.ReachableChanged = true
		out.Reachable = h.view.Reachable
	}
	return out
}
