package command

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"
)

const (
	// collectorCheck is the time between two looks at the garbage collector.
	collectorCheck = time.Second
	// headroomChecks is the number of checks for which the heap has room at the
	// latest rate of allocation.
	headroomChecks = 2
	// minHeadroom is the least room, in bytes.
	minHeadroom = 5 << 20
	// minHeadroomPart divides the heap of an idle entry that is large.
	minHeadroomPart = 4
	// maxPercent lets a busy heap grow to five times what lives.
	maxPercent = 400
	// firstPercent lets the collector run once, so that what lives is known.
	firstPercent = 100
	// percentStepPart is the part of the target by which it must change to be
	// worth a stop of the process.
	percentStepPart = 5
)

// heapUse is what the garbage collector says of itself, in bytes.
type heapUse struct {
	// scanned is the size of what the latest collection marked, 0 before the
	// first.
	scanned uint64
	// allocated is the sum of all allocations so far.
	allocated uint64
}

// target returns the collector's target in percent of what lives, given the
// use of collectorCheck ago. An idle entry gets little room, which costs it one
// collection in some seconds; a busy one gets as much as maxPercent allows.
func (u heapUse) target(before heapUse) int {
	if u.scanned == 0 {
		return firstPercent
	}
	headroom := max(minHeadroom, u.scanned/minHeadroomPart, headroomChecks*(u.allocated-before.allocated))
	return int(min(100*headroom/u.scanned, maxPercent))
}

// isWorthChange reports whether the target differs enough from the present one.
func isWorthChange(present, target int) bool {
	return percentStepPart*max(present-target, target-present) > present
}

// runCollectorTarget sets the collector's target by size and use until the
// context ends. An environment with GOGC sets it instead.
func runCollectorTarget(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	before, percent := readHeapUse(), firstPercent
	periodic.Run(ctx, clockwork.NewRealClock(), collectorCheck, func(context.Context) {
		use := readHeapUse()
		target := use.target(before)
		before = use
		if isWorthChange(percent, target) {
			percent = target
			debug.SetGCPercent(percent)
		}
	})
}

func readHeapUse() heapUse {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/gc/scan/stack:bytes"},
		{Name: "/gc/scan/globals:bytes"},
		{Name: "/gc/heap/allocs:bytes"},
	}
	metrics.Read(samples)
	out := heapUse{allocated: samples[3].Value.Uint64()}
	if live := samples[0].Value.Uint64(); live > 0 {
		out.scanned = live + samples[1].Value.Uint64() + samples[2].Value.Uint64()
	}
	return out
}
