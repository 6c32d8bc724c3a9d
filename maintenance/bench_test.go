package maintenance

import (
	"fmt"
	"testing"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// benchFleet spreads the given number of VMs over 5 to 33 pools.
func benchFleet(vms int) fleetSize {
	pools := max(5, min(33, vms/10)) - 1
	return fleetSize{pools: pools, vmsPerPool: vms / (pools + 1), spares: vms - pools*(vms/(pools+1)), perRack: 4, zones: 19, budget: max(2, vms/(pools+1)/10)}
}

var benchSizes = []int{50, 500, 5000, 11000}

func benchFleetModel(b *testing.B, vms int) *fleetModel {
	m := newFleetModel(b, benchFleet(vms), userWeights(b, "apitt"), Decide, 1)
	m.startWave(vms)
	for range 200 {
		m.step("p1")
	}
	return m
}

func BenchmarkDecide(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			m := benchFleetModel(b, vms)
			observed := m.observe()
			b.ReportAllocs()
			for b.Loop() {
				Decide(m.state, observed, m.params, m.now)
			}
		})
	}
}

// BenchmarkApply measures a failure and a recovery, two records that update
// every counter and index.
func BenchmarkApply(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			m := benchFleetModel(b, vms)
			b.ReportAllocs()
			for b.Loop() {
				m.apply("watch", &statemachine.VMFailed{VM: "vm-00001", Condition: statemachine.ConditionFailed})
				vm, _ := m.state.VMs.Get("vm-00001")
				m.apply("watch", &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version})
			}
		})
	}
}

// BenchmarkSpareVMs varies the number of spare VMs and loses the worst rack in
// the middle of a wave. Only its custom metrics are meaningful, not its time.
func BenchmarkSpareVMs(b *testing.B) {
	run := func(user, strategy string, spares int, decide decideFunc) {
		b.Run(fmt.Sprintf("%s/%s/spares=%d", user, strategy, spares), func(b *testing.B) {
			var out rackLoss
			for b.Loop() {
				out = worstRack(b, user, spares, decide)
			}
			b.ReportMetric(out.belowBudgetTime.Minutes(), "below-VM-min")
			b.ReportMetric(out.longestBelowBudget.Seconds(), "longest-s")
			b.ReportMetric(out.duration.Minutes(), "roll-out-min")
			b.ReportMetric(float64(out.moves), "moves")
			b.ReportMetric(out.lentVMTime.Hours(), "lent-VM-h")
			b.ReportMetric(out.duration.Hours()*float64(spares)-out.lentVMTime.Hours(), "idle-VM-h")
		})
	}
	for _, user := range examples.Users {
		for spares := range 9 {
			run(user, "planner", spares, Decide)
		}
		run(user, "no_cover", 4, waveLoansOnly)
		run(user, "no_cover", 8, waveLoansOnly)
	}
}
