package scheduler

import (
	"flag"
	"os"
	"testing"
)

// modelSeed makes the model test draw the same schedules every time; -rapid.seed and
// -rapid.checks select others.
const modelSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", modelSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
