package statemachine_test

import (
	"fmt"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Two writers create the same pool. The order in the log decides, and both read
// the same outcome.
func ExampleState_Apply() {
	state := statemachine.New()
	for offset, writer := range []string{"entry-1", "entry-2"} {
		batch := statemachine.Batch{Writer: writer, Records: []statemachine.Record{
			{Seq: 1, Command: &statemachine.PoolSet{Pool: statemachine.Pool{Name: "pool-1", MaxUnavailable: 2}}},
		}}
		next, results := state.Apply(uint64(offset), batch)
		state = next
		if rejection := results[0].Rejection; rejection != nil {
			fmt.Println(writer, "rejected:", rejection.Reason)
			continue
		}
		fmt.Println(writer, "applied")
	}
	fmt.Println("next offset", state.NextOffset)
	// Output:
	// entry-1 applied
	// entry-2 rejected: version_mismatch
	// next offset 2
}
