package statemachine

import "flag"

// init fixes the seed of the property tests to make their results reproducible.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
