package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/timeline"
)

func (o *operatorAPI) status(g *gin.Context) {
	state := o.control.State()
	out := api.Status{
		Incarnation:  o.id.incarnation,
		Offset:       state.NextOffset,
		Current:      o.control.Current(),
		ControlAgeMS: stalenessMS(o.control.Staleness()),
		Inflight:     o.dispatcher.Inflight(),
		Unsettled:    o.inDoubt.Len(),
		Entries:      o.entries(),
		Teams:        o.ledger.UsageByTeam(),
		Pools:        make(map[string]int),
	}
	for _, vm := range state.VMs.All() {
		out.Pools[vm.Pool]++
	}
	g.JSON(http.StatusOK, out)
}

func (o *operatorAPI) entries() []api.EntryStatus {
	applied := map[string]uint64{o.id.incarnation: o.control.State().NextOffset}
	for _, member := range o.membership.Reachable() {
		applied[member.Incarnation] = member.LastHeartbeat.GetApplied()
	}
	out := []api.EntryStatus{}
	for incarnation, entry := range o.control.State().Entries.All() {
		offset, reachable := applied[incarnation]
		out = append(out, api.EntryStatus{Entry: *entry, Reachable: reachable, Applied: offset})
	}
	return out
}

func (o *operatorAPI) timeline(g *gin.Context) {
	events := o.ring.Events(timeline.Filter{
		Team:    g.Query("team"),
		VM:      g.Query("vm"),
		Request: g.Query("request"),
		Wave:    g.Query("wave"),
	})
	if events == nil {
		events = []timeline.Event{}
	}
	g.JSON(http.StatusOK, api.Timeline{Events: events})
}
