package membership

import "flag"

// init fixes the seed of the property tests, so that their results are
// reproducible. Command-line flags take precedence.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
