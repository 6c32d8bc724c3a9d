package membership

import (
	"slices"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
)

// ViewHistory numbers the versions of an entry's own view and tells what has
// changed since one of them. It keeps nothing of those who ask, reads no clock
// and is not safe for concurrent use.
type ViewHistory struct {
	incarnation string
	// version is that of the latest view, 0 before the first.
	version uint64
	// oldest is the first version with the zone and teams of the latest: changes
	// since earlier ones are not told.
	oldest uint64
	view   View
	// teamsAt holds the version of each team's latest change, in the order of
	// the view.
	teamsAt     []uint64
	reachableAt uint64
}

// NewViewHistory returns the history of an incarnation without a view.
func NewViewHistory(incarnation string) *ViewHistory {
	return &ViewHistory{incarnation: incarnation}
}

// Update makes next the latest view. An equal one keeps its version.
func (h *ViewHistory) Update(next View) {
	next.sort()
	if h.version == 0 || !next.hasTeamsOf(h.view) {
		h.replace(next)
		return
	}
	version := h.version + 1
	for i, load := range next.Teams {
		if !sameLoad(load, h.view.Teams[i]) {
			h.teamsAt[i] = version
			h.version = version
		}
	}
	if !slices.Equal(next.Reachable, h.view.Reachable) {
		h.reachableAt = version
		h.version = version
	}
	h.view = next
}

// replace starts anew from a view that is told in full.
func (h *ViewHistory) replace(next View) {
	h.version++
	h.oldest = h.version
	h.view = next
	h.reachableAt = h.version
	h.teamsAt = slices.Repeat([]uint64{h.version}, len(next.Teams))
}

// Answer returns the view for an asker: what has changed since the version that
// the question names, or all of it if that is not known to be a version of this
// incarnation with the same teams. There must have been an Update.
func (h *ViewHistory) Answer(question *peerpb.Heartbeat) *peerpb.Heartbeat {
	held := question.GetHeldVersion()
	if question.GetHeldIncarnation() != HashIncarnation(h.incarnation) || held < h.oldest || held > h.version {
		return h.full()
	}
	return h.since(held)
}

func (h *ViewHistory) full() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Incarnation: h.incarnation, Version: h.version, AvailabilityZone: h.view.AvailabilityZone,
		Teams: h.view.Teams, Reachable: h.view.Reachable,
	}
}

func (h *ViewHistory) since(held uint64) *peerpb.Heartbeat {
	out := &peerpb.Heartbeat{Delta: true, Version: h.version}
	if held == h.version {
		return out
	}
	for i, at := range h.teamsAt {
		if at > held {
			out.Teams = append(out.Teams, h.view.Teams[i])
		}
	}
	if h.reachableAt > held {
		out.ReachableChanged = true
		out.Reachable = h.view.Reachable
	}
	return out
}
