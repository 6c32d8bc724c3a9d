package lease

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	ttl        = 6 * time.Second
	checkEvery = time.Second
)

// memoryLog applies commands at once.
type memoryLog struct {
	state *statemachine.State
	seq   map[string]uint64
}

// process is one writer of the log, with its own clocks.
type process struct {
	*Keeper
	log    *memoryLog
	name   string
	age    time.Duration
	clocks Reading
}

func (p *process) Read() Reading              { return p.clocks }
func (p *process) State() *statemachine.State { return p.log.state }
func (p *process) Staleness() time.Duration   { return p.age }

func (p *process) Propose(_ context.Context, c statemachine.Command) (statemachine.Result, error) {
	p.log.seq[p.name]++
	batch := statemachine.Batch{Writer: p.name, Records: []statemachine.Record{{Seq: p.log.seq[p.name], Command: c}}}
	next, results := p.log.state.Apply(p.log.state.NextOffset, batch)
	p.log.state = next
	return results[0], nil
}

func (p *process) advance(wall, monotonic time.Duration) {
	p.clocks.Wall += wall
	p.clocks.Monotonic += monotonic
}

func (p *process) holds() bool {
	_, ok := p.Epoch()
	return ok
}

func newProcesses(names ...string) []*process {
	log := &memoryLog{state: statemachine.New(), seq: make(map[string]uint64)}
	var out []*process
	for _, name := range names {
		p := &process{log: log, name: name}
		p.Keeper = NewKeeper(Config{Name: statemachine.MaintenanceLease, Self: name, TTL: ttl, Log: p, Stopwatch: p})
		out = append(out, p)
	}
	return out
}

// advanceAll advances the processes' clocks, with a step per check interval.
func advanceAll(t *testing.T, d time.Duration, processes ...*process) {
	for range int(d / checkEvery) {
		for _, p := range processes {
			p.advance(checkEvery, checkEvery)
			p.step(t.Context())
		}
	}
}

func TestKeeper_TakesOverAfterRenewalsStop(t *testing.T) {
	p := newProcesses("a", "b")
	advanceAll(t, checkEvery, p...)
	require.True(t, p[0].holds())
	advanceAll(t, 10*ttl, p...)
	require.True(t, p[0].holds())
	require.False(t, p[1].holds())
	lease, _ := p[0].State().Leases.Get(statemachine.MaintenanceLease)
	require.LessOrEqual(t, lease.Renewals, uint64(10*renewalsPerTTL))

	advanceAll(t, ttl-checkEvery, p[1])
	require.False(t, p[1].holds())
	advanceAll(t, 2*checkEvery, p[1])
	require.True(t, p[1].holds())

	p[0].step(t.Context())
	require.False(t, p[0].holds(), "the former holder has observed the takeover")
	require.NoError(t, p[1].Release(t.Context()))
	p[0].step(t.Context())
	require.True(t, p[0].holds(), "a released lease is acquired without a wait")
}

// TestKeeper_Clocks covers clocks that stop or are stepped, and pauses. Unsafe
// is the decision by a single clock, or without pause detection.
func TestKeeper_Clocks(t *testing.T) {
	tests := []struct {
		name           string
		change         func(holder, other *process)
		unsafeDecision func(holder, other *process) bool
		holdsWrongly   func(holder, other *process) bool
	}{
		{
			name:   "the holder's VM is suspended and its monotonic clock stops",
			change: func(holder, _ *process) { holder.advance(ttl, 0) },
			unsafeDecision: func(holder, _ *process) bool {
				return holder.clocks.Monotonic-holder.heldLease.Load().renewedAt.Monotonic < ttl
			},
			holdsWrongly: func(holder, _ *process) bool { return holder.holds() },
		},
		{
			name:           "the holder's wall clock is stepped back while it is paused",
			change:         func(holder, _ *process) { holder.advance(-ttl, ttl) },
			unsafeDecision: func(holder, _ *process) bool { return holder.clocks.Wall-holder.heldLease.Load().renewedAt.Wall < ttl },
			holdsWrongly:   func(holder, _ *process) bool { return holder.holds() },
		},
		{
			name:           "the other's wall clock is stepped ahead",
			change:         func(_, other *process) { other.advance(ttl, checkEvery) },
			unsafeDecision: func(_, other *process) bool { return other.clocks.Wall-other.expiryWatch.waitingSince.Wall >= ttl },
			holdsWrongly:   func(_, other *process) bool { other.step(context.Background()); return other.holds() },
		},
		{
			name:           "the other is paused and has an old state when it wakes",
			change:         func(_, other *process) { other.advance(2*ttl, 2*ttl) },
			unsafeDecision: func(_, other *process) bool { return other.clocks.minElapsed(other.expiryWatch.waitingSince) >= ttl },
			holdsWrongly:   func(_, other *process) bool { other.step(context.Background()); return other.holds() },
		},
		{
			name: "the other cannot read the log",
			change: func(_, other *process) {
				other.age = ttl
				for range ttl / checkEvery {
					other.advance(checkEvery, checkEvery)
					other.step(context.Background())
				}
			},
			unsafeDecision: func(_, other *process) bool { return other.clocks.Wall-2*checkEvery >= ttl },
			holdsWrongly:   func(_, other *process) bool { return other.holds() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProcesses("holder", "other")
			advanceAll(t, 2*checkEvery, p...)
			require.True(t, p[0].holds())
			tt.change(p[0], p[1])
			require.True(t, tt.unsafeDecision(p[0], p[1]))
			require.False(t, tt.holdsWrongly(p[0], p[1]))
		})
	}
}
