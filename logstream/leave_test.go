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

// heldLog holds each append until it is released, and then refuses it.
type heldLog struct {
	provider.Log
	entered chan struct{}
	release chan struct{}
}

func (l *heldLog) Append(context.Context, string, [][]byte) (uint64, error) {
	l.entered <- struct{}{}
	<-l.release
	return 0, &provider.Error{Op: "log.append", Outcome: provider.Refused, Code: provider.CodeUnavailable}
}

// TestPropose_LeavesDuringARefusedAppend checks that a proposer that gives up
// while an append is under way still learns that the log refused it.
func TestPropose_LeavesDuringARefusedAppend(t *testing.T) {
	log := &heldLog{entered: make(chan struct{}), release: make(chan struct{})}
	s := New(Config{
		Name: "s", Writer: "w", Log: log, Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(), Limits: DefaultLimits(),
	}, statemachine.New())
	run, stop := context.WithCancel(context.Background())
	defer stop()
	go s.write(run)
	ctx, giveUp := context.WithCancel(context.Background())
	outcome := make(chan provider.Outcome)
	go func() {
		_, err := s.Propose(ctx, &statemachine.PoolSet{})
		outcome <- provider.OutcomeOf(err)
	}()
	<-log.entered
	giveUp()
	go func() { log.release <- struct{}{} }()
	require.Equal(t, provider.Refused, <-outcome)
}
