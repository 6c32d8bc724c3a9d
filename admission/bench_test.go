package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var apittTeams = []Entitlement{
	{Team: "lisboa", Weight: 300, Limit: 160}, {Team: "porto", Weight: 300, Limit: 160},
	{Team: "braga", Weight: 120, Limit: 160}, {Team: "coimbra", Weight: 120, Limit: 160},
	{Team: "faro", Weight: 80, Limit: 160}, {Team: "setubal", Weight: 80, Limit: 160},
}

const modelSeed = 20261204

func fleetModel(p policy, load float64, rotating bool) *model {
	return newModel(model{
		policy: p, capacity: 336, entries: 8, teams: apittTeams, load: load, bursty: rotating, meanRun: 100 * time.Millisecond,
		roundWaiting: math.Round, turnover: modelTurnover, transfer: modelTransfer,
	}, modelSeed)
}

var policyNames = map[policy]string{firstComeFirstServed: "first come", localLoads: "local loads", exchangedLoads: "exchanged"}

func BenchmarkShareError(b *testing.B) {
	for _, skewed := range []bool{false, true} {
		for _, p := range []policy{firstComeFirstServed, localLoads, exchangedLoads} {
			b.Run(fmt.Sprintf("skewed=%t/%s", skewed, policyNames[p]), func(b *testing.B) {
				for range b.N {
					m := fleetModel(p, 3, true)
					m.skewed = skewed
					m.run(10*time.Second, 40*time.Second)
					mean, worst := m.shareError()
					b.ReportMetric(100*mean, "mean-%")
					b.ReportMetric(100*worst, "worst-%")
				}
			})
		}
	}
}

func BenchmarkOverload(b *testing.B) {
	for _, p := range []policy{firstComeFirstServed, localLoads, exchangedLoads} {
		for _, load := range []float64{0.8, 1, 1.5, 5} {
			b.Run(fmt.Sprintf("%s/load=%g", policyNames[p], load), func(b *testing.B) {
				for range b.N {
					m := fleetModel(p, load, false)
					m.skewed = p != firstComeFirstServed
					m.run(10*time.Second, 20*time.Second)
					r := m.results
					b.ReportMetric(100*float64(r.inTime)/float64(r.arrived), "in-time-%")
					b.ReportMetric(float64(r.inTime)/20, "goodput/s")
					b.ReportMetric(float64(r.wasted)/20, "wasted/s")
				}
			})
		}
	}
}
