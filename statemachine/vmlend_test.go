package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestVMLend_PutsIdleSparesIntoService checks that a loan consumes no budget,
// applies only at the expected version and lease epoch, and ends by a drain.
func TestVMLend_PutsIdleSparesIntoService(t *testing.T) {
	f := newFleetFixture(t)
	f.mustApply("op", &ZoneSet{Zone: Zone{Name: "z-0", MaxUnavailable: 0}})
	f.mustReject(ReasonBudget, "p1", &VMDrain{VM: "s0", Pool: "spare", Expected: 1, MoveTo: "a", Wave: "w", Epoch: 1})
	f.mustReject(ReasonEpoch, "op", &VMLend{VM: "s0", From: "spare", To: "a", Expected: 1})
	f.mustReject(ReasonVersion, "p1", &VMLend{VM: "s0", From: "spare", To: "a", Expected: 2, Epoch: 1})
	f.mustReject(ReasonVersion, "p1", &VMLend{VM: "s0", From: "b", To: "a", Expected: 1, Epoch: 1})
	f.mustReject(ReasonNotFound, "p1", &VMLend{VM: "s0", From: "spare", To: "c", Expected: 1, Epoch: 1})
	f.mustReject(ReasonInvalid, "p1", &VMLend{VM: "s0", From: "spare", Expected: 1, Epoch: 1})
	f.mustReject(ReasonStep, "p1", &VMLend{VM: "a0", From: "a", To: "b", Expected: 1, Epoch: 1})

	f.mustApply("p1", &VMLend{VM: "s0", From: "spare", To: "a", Expected: 1, Epoch: 1})
	require.Equal(t, "a", f.vm("s0").Pool)
	require.Equal(t, "spare", f.vm("s0").Home)
	require.True(t, f.vm("s0").Available())
	usage, _ := f.state.PoolUsage.Get("a")
	require.Equal(t, Usage{VMs: 5}, usage)
	f.mustReject(ReasonStep, "p1", &VMLend{VM: "s0", From: "a", To: "b", Expected: 2, Epoch: 1})

	f.mustApply("op", &ZoneSet{Zone: Zone{Name: "z-0", MaxUnavailable: 1}, Expected: 1})
	f.mustApply("p1", &VMDrain{VM: "s0", Pool: "a", Expected: 2, MoveTo: "spare"})
	f.mustApply("p1", &VMMove{VM: "s0", From: "a", To: "spare", Expected: 3, Epoch: 1})
	require.Empty(t, f.vm("s0").Home)

	f.mustApply("op", &TemplateSet{Template: Template{Name: "t", Pools: []string{"spare"}}})
	f.mustReject(ReasonStep, "p1", &VMLend{VM: "s1", From: "spare", To: "a", Expected: 1, Epoch: 1})
}
