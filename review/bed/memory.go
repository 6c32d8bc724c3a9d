package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryMB is the memory of an entry's machine, as in its settings.
const memoryMB = 284

// guardMemory does what the platform does: it kills an entry whose memory exceeds that of its
// machine, and starts it again after a short delay.
func (b *bed) guardMemory(entry int, program string) {
	defer b.guards.Done()
	const (
		interval = 50 * time.Millisecond
		restart  = time.Second
	)
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(interval):
		}
		b.mu.Lock()
		p := b.procs[entry]
		b.mu.Unlock()
		held := residentMB(p.Process.Pid)
		if held <= memoryMB {
			continue
		}
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
		b.note("entry %d holds %d MB of %d MB and is killed", entry+1, held, memoryMB)
		b.mu.Lock()
		b.killed[entry]++
		b.mu.Unlock()
		time.Sleep(restart)
		p = exec.Command(program, "fleet-entry", "-settings", b.settings[entry])
		must(p.Start())
		b.mu.Lock()
		b.procs[entry] = p
		b.mu.Unlock()
		b.note("entry %d starts again", entry+1)
	}
}

func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			must(err)
			return kb >> 10
		}
	}
	return 0
}
