package quota

import "flag"

// init fixes the seed and the number of schedules of the property tests, so
// that their verdict is the same every time. Flags of the command line win.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
