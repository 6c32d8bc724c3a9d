package testbed

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopTimeout bounds a graceful stop; the process is killed after it.
const stopTimeout = 20 * time.Second

// Process is a running process of the binary.
type Process struct {
	cmd    *exec.Cmd
	output *lockedBuffer
	done   chan struct{}
}

// lockedBuffer collects output that a process writes while a test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start runs the binary with the arguments until the test ends.
func Start(t testing.TB, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(Binary(t), args...), output: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %v:\n%s", args, tail(p.output.String()))
		}
	})
	return p
}

// Kill kills the process, paused or not, and waits for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop interrupts the process, waits for its exit and returns the exit code.
func (p *Process) Stop(t testing.TB) int {
	t.Helper()
	_ = p.cmd.Process.Signal(os.Interrupt)
	return p.WaitExit(t)
}

// WaitExit waits until the process exits and returns its exit code.
func (p *Process) WaitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		t.Errorf("the process did not stop within %v", stopTimeout)
		p.Kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

// Output returns the output of the process so far.
func (p *Process) Output() string { return p.output.String() }

func tail(s string) string {
	const limit = 8000
	return s[max(0, len(s)-limit):]
}

func (p *Process) PID() int { return p.cmd.Process.Pid }
