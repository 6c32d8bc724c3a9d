package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Progress is how far a load is.
type Progress struct {
	// Elapsed is the time since the start.
	Elapsed time.Duration
	// Sent counts requests and jobs, Answered those with an answer or done.
	Sent, Answered int
	// NotRun, Failed and Unknown count the other ends.
	NotRun, Failed, Unknown int
	// InFlight counts the requests without an end, Open the jobs.
	InFlight, UnfinishedJobs int
	// P99 is that of the answers to requests and orders so far.
	P99 time.Duration
}

// PrintProgressHeader is the line above those of Progress.Print.
func PrintProgressHeader(w io.Writer) {
	fmt.Fprintf(w, "%7s %9s %9s %8s %7s %8s %9s %10s %11s\n",
		"TIME", "SENT", "ANSWERED", "NOT RUN", "FAILED", "UNKNOWN", "IN FLIGHT", "JOBS OPEN", "P99")
}

// Print writes the progress as one aligned line.
func (p Progress) Print(w io.Writer) {
	fmt.Fprintf(w, "%5.0f s %9d %9d %8d %7d %8d %9d %10d %8.1f ms\n",
		p.Elapsed.Seconds(), p.Sent, p.Answered, p.NotRun, p.Failed, p.Unknown, p.InFlight, p.UnfinishedJobs,
		float64(p.P99.Microseconds())/1e3)
}

// progress sums the classes up.
func (r *runner) progress() Progress {
	out := Progress{Elapsed: time.Since(r.start), UnfinishedJobs: int(r.openJobs.Load())}
	latency := newLatency()
	ended := 0
	for class, t := range r.classes {
		t.mu.Lock()
		out.Sent += t.sent
		for outcome, count := range t.outcomes {
			ended += count
			out.add(outcome, count)
		}
		if class == ClassRequest || class == ClassOrder {
			latency.Merge(t.latency)
		}
		t.mu.Unlock()
	}
	out.InFlight = max(0, out.Sent-ended-out.UnfinishedJobs)
	out.P99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	return out
}

func (p *Progress) add(outcome string, count int) {
	switch outcome {
	case answered, string(statemachine.JobDone):
		p.Answered += count
	case notRun:
		p.NotRun += count
	case failed:
		p.Failed += count
	case unknown:
		p.Unknown += count
	}
}

// startProgress begins to report the progress. The result ends it, and returns
// once the last report is made.
func (r *runner) startProgress(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var shown sync.WaitGroup
	shown.Go(func() { r.showProgress(ctx) })
	return func() {
		cancel()
		shown.Wait()
	}
}

// showProgress reports the progress until the context ends.
func (r *runner) showProgress(ctx context.Context) {
	if r.cfg.Progress == nil || r.cfg.ProgressInterval <= 0 {
		return
	}
	ticker := time.NewTicker(r.cfg.ProgressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.cfg.Progress(r.progress())
		}
	}
}
