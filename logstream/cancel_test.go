package logstream

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// blockingLog blocks each append until it is released, and then refuses it.
type blockingLog struct {
	provider.Log
	appendStarted chan struct{}
	release       chan struct{}
}

func (l *blockingLog) Append(context.Context, string, [][]byte) (uint64, error) {
	l.appendStarted <- struct{}{}
	<-l.release
	return 0, &provider.Error{Op: "log.append", Outcome: provider.Refused, Code: provider.CodeUnavailable}
}

// TestPropose_CancelDuringRefusedAppend checks that a proposal cancelled during
// an append still reports that the log refused it.
func TestPropose_CancelDuringRefusedAppend(t *testing.T) {
	log := &blockingLog{appendStarted: make(chan struct{}), release: make(chan struct{})}
	s := New(Config{
		Name: "s", Writer: "w", Log: log, Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(), Limits: DefaultLimits(),
	}, statemachine.New())
	run, stop := context.WithCancel(context.Background())
	defer stop()
	go s.write(run)
	ctx, cancel := context.WithCancel(context.Background())
	outcome := make(chan provider.Outcome)
	go func() {
		_, err := s.Propose(ctx, &statemachine.PoolSet{})
		outcome <- provider.OutcomeOf(err)
	}()
	<-log.appendStarted
	cancel()
	go func() { log.release <- struct{}{} }()
	require.Equal(t, provider.Refused, <-outcome)
}
