package maintenance

import (
	"fmt"
	"testing"

	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// benchFleet lays out a fleet of the size over the pools of the target size.
func benchFleet(vms int) fleetSize {
	pools := max(5, min(33, vms/10)) - 1
	return fleetSize{pools: pools, vmsPerPool: vms / (pools + 1), spares: vms - pools*(vms/(pools+1)), perRack: 4, zones: 19, budget: max(2, vms/(pools+1)/10)}
}

var benchSizes = []int{50, 500, 5000, 11000}

func benchModel(b *testing.B, vms int) *model {
	m := newModel(b, benchFleet(vms), weightsOf(b, "apitt"), Decide, 1)
	m.startWave(vms)
	for range 200 {
		m.step("p1")
	}
	return m
}

func BenchmarkDecide(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			m := benchModel(b, vms)
			observed := m.observe()
			b.ReportAllocs()
			for b.Loop() {
				Decide(m.state, observed, m.params, m.now)
			}
		})
	}
}

// BenchmarkApply measures a failure and a recovery, two records that touch
// every counter and index.
func BenchmarkApply(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			m := benchModel(b, vms)
			b.ReportAllocs()
			for b.Loop() {
				m.do("watch", &statemachine.VMFailed{VM: "vm-00001", Condition: statemachine.ConditionFailed})
				vm, _ := m.state.VMs.Get("vm-00001")
				m.do("watch", &statemachine.VMRecovered{VM: vm.ID, Expected: vm.Version})
			}
		})
	}
}

// BenchmarkSpareVMs sweeps the number of spare VMs through the loss of the
// worst rack in the middle of a wave. Its time means nothing.
func BenchmarkSpareVMs(b *testing.B) {
	run := func(user, way string, spares int, decide decider) {
		b.Run(fmt.Sprintf("%s/%s/spares=%d", user, way, spares), func(b *testing.B) {
			var out rackLoss
			for b.Loop() {
				out = worstRack(b, user, spares, decide)
			}
			b.ReportMetric(out.below.Minutes(), "below-VM-min")
			b.ReportMetric(out.longest.Seconds(), "longest-s")
			b.ReportMetric(out.took.Minutes(), "roll-out-min")
			b.ReportMetric(float64(out.moves), "moves")
			b.ReportMetric(out.lent.Hours(), "lent-VM-h")
			b.ReportMetric(out.took.Hours()*float64(spares)-out.lent.Hours(), "idle-VM-h")
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
