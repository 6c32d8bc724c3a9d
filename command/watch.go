package command

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	minWatchInterval = 100 * time.Millisecond
	maxWatchFor      = 24 * time.Hour
	// clearScreen moves a terminal's cursor to the top left and clears it.
	clearScreen = "\x1b[H\x1b[2J"
)

// watch repeats a look at the system, within a bounded time.
type watch struct {
	every time.Duration
	limit time.Duration
}

// setFlags declares the flags of a command that can watch.
func (w *watch) setFlags(f *flag.FlagSet) {
	f.DurationVar(&w.every, "every", time.Second, "interval between two looks, at least 100ms")
	f.DurationVar(&w.limit, "for", time.Hour, "time after which a repeated look ends, up to 24h")
}

// check names the first flag that is out of its bounds.
func (w *watch) check() error {
	switch {
	case w.every < minWatchInterval:
		return errors.Newf("-every is %s; it must be at least %s", w.every, minWatchInterval)
	case w.limit <= 0 || w.limit > maxWatchFor:
		return errors.Newf("-for is %s; it must be above 0 and up to %s", w.limit, maxWatchFor)
	}
	return nil
}

// run looks again and again until the time is over or the context ends, which
// is how a signal ends it. The first look must succeed. The error of a later one
// is reported, and the next look may succeed again.
func (w *watch) run(ctx context.Context, report func(error), look func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	for first := true; ; first = false {
		err := look(ctx)
		switch {
		case err == nil || ctx.Err() != nil:
		case first:
			return err
		default:
			report(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isTerminal reports whether a person sees the output as it is written.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
