package lease

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	ttl  = 6 * time.Second
	look = time.Second
)

// memoryLog applies commands at once.
type memoryLog struct {
	state *statemachine.State
	seq   map[string]uint64
}

// process is one writer's end of the log, with clocks of its own.
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

// run lets time pass for the processes, in looks.
func run(t *testing.T, d time.Duration, processes ...*process) {
	for range int(d / look) {
		for _, p := range processes {
			p.advance(look, look)
			p.step(t.Context())
		}
	}
}

func TestKeeper_TakesOverOnceRenewalsStop(t *testing.T) {
	p := newProcesses("a", "b")
	run(t, look, p...)
	require.True(t, p[0].holds())
	run(t, 10*ttl, p...)
	require.True(t, p[0].holds())
	require.False(t, p[1].holds())
	lease, _ := p[0].State().Leases.Get(statemachine.MaintenanceLease)
	require.LessOrEqual(t, lease.Renewals, uint64(10*renewalsPerTTL))

	run(t, ttl-look, p[1])
	require.False(t, p[1].holds())
	run(t, 2*look, p[1])
	require.True(t, p[1].holds())

	p[0].step(t.Context())
	require.False(t, p[0].holds(), "the former holder has seen the takeover")
	require.NoError(t, p[1].Release(t.Context()))
	p[0].step(t.Context())
	require.True(t, p[0].holds(), "a released lease is taken without a wait")
}

// TestKeeper_Clocks covers clocks that stop or are stepped, and pauses. Naive
// is what a decision by one clock, or without pause detection, says.
func TestKeeper_Clocks(t *testing.T) {
	tests := []struct {
		name   string
		change func(holder, other *process)
		naive  func(holder, other *process) bool
		wrong  func(holder, other *process) bool
	}{
		{
			name:   "the holder's VM is suspended and its monotonic clock stops",
			change: func(holder, _ *process) { holder.advance(ttl, 0) },
			naive: func(holder, _ *process) bool {
				return holder.clocks.Monotonic-holder.tenure.Load().from.Monotonic < ttl
			},
			wrong: func(holder, _ *process) bool { return holder.holds() },
		},
		{
			name:   "the holder's wall clock is stepped back while it is paused",
			change: func(holder, _ *process) { holder.advance(-ttl, ttl) },
			naive:  func(holder, _ *process) bool { return holder.clocks.Wall-holder.tenure.Load().from.Wall < ttl },
			wrong:  func(holder, _ *process) bool { return holder.holds() },
		},
		{
			name:   "the other's wall clock is stepped ahead",
			change: func(_, other *process) { other.advance(ttl, look) },
			naive:  func(_, other *process) bool { return other.clocks.Wall-other.watch.since.Wall >= ttl },
			wrong:  func(_, other *process) bool { other.step(context.Background()); return other.holds() },
		},
		{
			name:   "the other is paused and has an old state when it wakes",
			change: func(_, other *process) { other.advance(2*ttl, 2*ttl) },
			naive:  func(_, other *process) bool { return other.clocks.shortest(other.watch.since) >= ttl },
			wrong:  func(_, other *process) bool { other.step(context.Background()); return other.holds() },
		},
		{
			name: "the other cannot read the log",
			change: func(_, other *process) {
				other.age = ttl
				for range ttl / look {
					other.advance(look, look)
					other.step(context.Background())
				}
			},
			naive: func(_, other *process) bool { return other.clocks.Wall-2*look >= ttl },
			wrong: func(_, other *process) bool { return other.holds() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProcesses("holder", "other")
			run(t, 2*look, p...)
			require.True(t, p[0].holds())
			tt.change(p[0], p[1])
			require.True(t, tt.naive(p[0], p[1]))
			require.False(t, tt.wrong(p[0], p[1]))
		})
	}
}
