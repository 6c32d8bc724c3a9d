package membership

import "flag"

// init fixes the seed of the property tests, so that their verdict is the same
// every time. Flags of the command line win.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
