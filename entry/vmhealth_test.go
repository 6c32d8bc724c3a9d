package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

func TestHealthCommands(t *testing.T) {
	const now = 10 * time.Minute
	failed := func(c statemachine.Condition) statemachine.Command {
		return &statemachine.VMFailed{VM: "vm", Condition: c}
	}
	tests := []struct {
		name      string
		condition statemachine.Condition
		since     time.Duration
		listed    provider.VMState
		want      statemachine.Command
	}{
		{"live", statemachine.ConditionHealthy, 0, provider.VMActive, nil},
		{"draining is no failure", statemachine.ConditionHealthy, 0, provider.VMDraining, nil},
		{"failed", statemachine.ConditionHealthy, 0, provider.VMFailed, failed(statemachine.ConditionFailed)},
		{"failed already", statemachine.ConditionFailed, 0, provider.VMFailed, nil},
		{"live again", statemachine.ConditionFailed, 0, provider.VMActive, &statemachine.VMRecovered{VM: "vm", Expected: 7}},
		{"missing", statemachine.ConditionHealthy, 0, "", failed(statemachine.ConditionUnconfirmed)},
		{"missing up to the delay", statemachine.ConditionUnconfirmed, now - missingVMRemovalDelay, "", nil},
		{"missing beyond the delay", statemachine.ConditionUnconfirmed, now - missingVMRemovalDelay - 1e6, "", &statemachine.VMRemove{VM: "vm", Expected: 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vm := &statemachine.VM{ID: "vm", Version: 7, Condition: tt.condition, ConditionSinceMS: tt.since.Milliseconds()}
			state := &statemachine.State{VMs: statemachine.Table[*statemachine.VM]{}.Set("vm", vm)}
			var list []provider.VMInfo
			if tt.listed != "" {
				list = append(list, provider.VMInfo{ID: "vm", State: tt.listed})
			}
			var want []statemachine.Command
			if tt.want != nil {
				want = append(want, tt.want)
			}
			require.Equal(t, want, healthCommands(state, list, time.UnixMilli(now.Milliseconds())))
		})
	}
}
