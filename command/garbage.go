package command

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap of an entry grow to five times its live size, which
// is a few megabytes, before the garbage collector runs.
const gcPercent = 400

// setGCPercent sets the collector's target unless the environment does.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
