package pressure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleInterval is the distance of two counts of the process's descriptors.
const sampleInterval = 20 * time.Millisecond

// watched is a process whose peaks are recorded.
type watched struct {
	pid         int
	descriptors atomic.Int64
	stop        chan struct{}
	done        chan struct{}
}

func watch(t *testing.T, pid int) *watched {
	w := &watched{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	go w.sample()
	t.Cleanup(func() {
		close(w.stop)
		<-w.done
	})
	return w
}

func (w *watched) sample() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
			w.descriptors.Store(max(w.descriptors.Load(), w.openDescriptors()))
		}
	}
}

// openDescriptors returns 0 once the process has ended.
func (w *watched) openDescriptors() int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

func (w *watched) alive() bool { return syscall.Kill(w.pid, 0) == nil }

// peakMB is the process's largest resident memory so far; 0 once it has ended.
func (w *watched) peakMB(t *testing.T) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			require.NoError(t, err)
			return kB >> 10
		}
	}
	return 0
}

// settle waits until the peaks no longer rise: what the crowd has sent is read then.
func (w *watched) settle(t *testing.T) {
	const unchanged = 400 * time.Millisecond
	lastMB, lastDescriptors := int64(-1), int64(-1)
	require.Eventually(t, func() bool {
		mb, descriptors := w.peakMB(t), w.descriptors.Load()
		same := mb == lastMB && descriptors == lastDescriptors
		lastMB, lastDescriptors = mb, descriptors
		return same
	}, time.Minute, unchanged)
}
