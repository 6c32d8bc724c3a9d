package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a member.
	HeartbeatInterval = 250 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	// ReachableFor is the time for which an answer proves a member reachable.
	ReachableFor = 2 * time.Second
)

// Caller sends a request to the entry at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
}

// Config holds what a Membership works with.
type Config struct {
	// Self is the own incarnation.
	Self string
	// SelfAddress is the own peer address.
	SelfAddress string
	// Seeds are peer addresses to try beside the members.
	Seeds  []string
	Caller Caller
	Clock  clockwork.Clock
	// State returns the control state.
	State func() *statemachine.State
	// Describe returns the own heartbeat.
	Describe func() *peerpb.Heartbeat
}

// Membership exchanges heartbeats with the other entries.
type Membership struct {
	cfg     Config
	mu      sync.Mutex
	members atomic.Pointer[map[string]Member]
}

// New returns a membership that knows no member yet. Run starts it.
func New(cfg Config) *Membership {
	m := &Membership{cfg: cfg}
	m.members.Store(&map[string]Member{})
	return m
}

// Run exchanges heartbeats until the context ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := m.cfg.Clock.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Reachable returns the members that answered within ReachableFor.
func (m *Membership) Reachable() []Member {
	now := m.cfg.Clock.Now()
	var out []Member
	for _, member := range *m.members.Load() {
		if elapsed(now, member.SentAt) <= ReachableFor {
			out = append(out, member)
		}
	}
	return out
}

// Claims returns what the reachable members of the state said. The state is
// read before the call.
func (m *Membership) Claims(state *statemachine.State) []Claim {
	return Claims(state, m.Reachable(), m.cfg.Clock.Now())
}

// Heartbeat returns the own heartbeat with the members that this entry reaches.
func (m *Membership) Heartbeat() *peerpb.Heartbeat {
	out := m.cfg.Describe()
	for _, member := range m.Reachable() {
		out.Reachable = append(out.Reachable, HashOf(member.Incarnation))
	}
	return out
}

// elapsed is the larger of the wall and the monotonic difference, because the
// monotonic clock stops while a VM is suspended.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Beat sends one heartbeat to each address at once and waits for the answers.
func (m *Membership) Beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range m.addresses() {
		wg.Go(func() { _ = m.beat(ctx, address) })
	}
	wg.Wait()
	m.forget()
}

// addresses returns the peer addresses of the members and the seeds.
func (m *Membership) addresses() []string {
	seen := map[string]bool{m.cfg.SelfAddress: true}
	var out []string
	add := func(address string) {
		if seen[address] {
			return
		}
		seen[address] = true
		out = append(out, address)
	}
	for _, entry := range m.cfg.State().Entries.All() {
		add(entry.Peers)
	}
	for _, seed := range m.cfg.Seeds {
		add(seed)
	}
	return out
}

func (m *Membership) beat(ctx context.Context, address string) error {
	sent := m.cfg.Clock.Now()
	// The caller learns from the answer, whose age its own clock bounds; the
	// request only says who asks.
	asker := &peerpb.Heartbeat{Incarnation: m.cfg.Self}
	req := &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: asker}}
	resp, err := m.cfg.Caller.Call(ctx, address, req)
	if err != nil {
		return err
	}
	heartbeat := resp.GetHeartbeat()
	if heartbeat == nil {
		return errors.New("the answer is no heartbeat")
	}
	m.store(Member{Incarnation: heartbeat.GetIncarnation(), Address: address, SentAt: sent, Last: heartbeat})
	return nil
}

func (m *Membership) store(member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := (*m.members.Load())[member.Incarnation]; ok && known.SentAt.After(member.SentAt) {
		return
	}
	next := make(map[string]Member, len(*m.members.Load())+1)
	for k, v := range *m.members.Load() {
		next[k] = v
	}
	next[member.Incarnation] = member
	m.members.Store(&next)
}

// forget drops the members that have not answered for long.
func (m *Membership) forget() {
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]Member)
	for k, v := range *m.members.Load() {
		if elapsed(now, v.SentAt) <= 10*ReachableFor {
			next[k] = v
		}
	}
	m.members.Store(&next)
}
