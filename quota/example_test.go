package quota_test

import (
	"fmt"

	"github.com/anvilcourse/anvilcourse/quota"
)

// An entry starts tasks only within its allotment of a team's limit.
func ExampleLedger() {
	ledger := quota.NewLedger()
	ledger.SetAllotted("porto", 1)
	fmt.Println(ledger.Acquire("porto"))
	fmt.Println(ledger.Acquire("porto"))
	ledger.Release("porto")
	fmt.Println(ledger.Acquire("porto"))
	// Output:
	// true
	// false
	// true
}
