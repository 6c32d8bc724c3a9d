package entry

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/quota"
)

// metrics are the entry's counters and gauges. They are kept per entry, not
// in expvar's global map, so that several entries can run in one process.
type metrics struct {
	vars *expvar.Map
	// outcomes counts the finished requests by outcome.
	outcomes *expvar.Map
	// rejections counts the requests without an answer by reason.
	rejections *expvar.Map
}

func newMetrics(c *control, d *dispatch.Dispatcher, inDoubt *dispatch.InDoubtSet, ledger *quota.Ledger, t *traffic, demand *demandMonitor, gate *ingress.Gate) *metrics {
	m := &metrics{vars: new(expvar.Map), outcomes: new(expvar.Map), rejections: new(expvar.Map)}
	m.vars.Set("requests", m.outcomes)
	m.vars.Set("requests_without_answer", m.rejections)
	m.gauge("control_offset", func() any { return c.State().NextOffset })
	m.gauge("control_age_ms", func() any { return stalenessMS(c.Staleness()) })
	m.gauge("control_current", func() any { return c.Current() })
	m.gauge("inflight", func() any { return d.Inflight() })
	m.gauge("waiting", func() any { return d.Waiting() })
	m.gauge("unsettled_starts", func() any { return inDoubt.Len() })
	m.gauge("removed_entries", func() any { return countRemovedEntries(c.State()) })
	m.gauge("teams", func() any { return ledger.UsageByTeam() })
	m.gauge("vms_needed", func() any { return demand.requiredVMs() })
	m.gauge("clients", func() any { return gate.Counters() })
	m.gauge("platform_bytes_in", func() any { return t.platform.In() })
	m.gauge("platform_bytes_out", func() any { return t.platform.Out() })
	m.gauge("peer_bytes_in", func() any { return t.peers.In() })
	m.gauge("peer_bytes_out", func() any { return t.peers.Out() })
	return m
}

func (m *metrics) gauge(name string, read func() any) {
	m.vars.Set(name, expvar.Func(read))
}

// countOutcome counts the outcome of a request.
func (m *metrics) countOutcome(o dispatch.Outcome) {
	m.outcomes.Add(string(o.Kind), 1)
	if o.Code != "" {
		m.rejections.Add(string(o.Code), 1)
	}
}

// ServeHTTP writes the process's and the entry's variables as one JSON object.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	fmt.Fprintf(w, "%q: %s\n}\n", "anvilcourse", m.vars)
}
