package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a member.
	HeartbeatInterval = 250 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	// ReachabilityTimeout is the time for which an answer proves a member reachable.
	ReachabilityTimeout = 2 * time.Second
)

// PeerClient sends a request to the entry at an address.
type PeerClient interface {
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
	Client PeerClient
	Clock  clockwork.Clock
	// State returns the control state.
	State func() *statemachine.State
	// View returns the own zone and the teams' load.
	View func() View
	// FillHeartbeat sets what every heartbeat tells: applied, control_age_ms,
	// log_readable and leaving.
	FillHeartbeat func(out *peerpb.Heartbeat)
}

// Membership exchanges heartbeats with the other entries.
type Membership struct {
	cfg     Config
	mu      sync.Mutex
	members atomic.Pointer[map[string]Member]
	own     ownView
}

// New returns a membership that knows no member yet. Run starts it.
func New(cfg Config) *Membership {
	m := &Membership{cfg: cfg, own: ownView{history: NewViewHistory(cfg.Self)}}
	m.members.Store(&map[string]Member{})
	return m
}

// Run exchanges heartbeats until the context ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := m.cfg.Clock.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.SendHeartbeats(ctx)
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
		if elapsed.Max(now, member.SentAt) <= ReachabilityTimeout {
			out = append(out, member)
		}
	}
	return out
}

// PeerStatuses returns what the reachable members of the state said. The state is
// read before the call.
func (m *Membership) PeerStatuses(state *statemachine.State) []PeerStatus {
	return PeerStatuses(state, m.Reachable(), m.cfg.Clock.Now())
}

// HandleHeartbeat answers another entry's question with the own heartbeat.
func (m *Membership) HandleHeartbeat(question *peerpb.Heartbeat) *peerpb.Heartbeat {
	// The view comes first, so that what an answer of a higher version says of
	// the rest was true later.
	out := m.own.answer(m.cfg.Clock.Now(), question, m.view)
	m.cfg.FillHeartbeat(out)
	return out
}

// view returns the own view with the members that this entry reaches.
func (m *Membership) view() View {
	out := m.cfg.View()
	for _, member := range m.Reachable() {
		out.Reachable = append(out.Reachable, HashIncarnation(member.Incarnation))
	}
	return out
}

// SendHeartbeats sends one heartbeat to each address at once and waits for the answers.
func (m *Membership) SendHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	held := m.held()
	for _, address := range m.addresses() {
		wg.Go(func() { m.beat(ctx, address, held[address]) })
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
		add(entry.PeerAddress)
	}
	for _, seed := range m.cfg.Seeds {
		add(seed)
	}
	return out
}

// held returns the latest answers of the reachable members by address. After a
// longer gap the whole view is asked for.
func (m *Membership) held() map[string]*peerpb.Heartbeat {
	latest := make(map[string]Member)
	for _, member := range m.Reachable() {
		if known, ok := latest[member.Address]; !ok || member.SentAt.After(known.SentAt) {
			latest[member.Address] = member
		}
	}
	out := make(map[string]*peerpb.Heartbeat, len(latest))
	for address, member := range latest {
		out[address] = member.LastHeartbeat
	}
	return out
}

// beat asks the entry at the address, of which base is held. If the answer does
// not fit it asks for the whole view.
func (m *Membership) beat(ctx context.Context, address string, base *peerpb.Heartbeat) {
	if err := m.ask(ctx, address, base); isDoubtful(err) {
		_ = m.ask(ctx, address, nil)
	}
}

func (m *Membership) ask(ctx context.Context, address string, base *peerpb.Heartbeat) error {
	sent := m.cfg.Clock.Now()
	// The caller learns from the answer, whose age its own clock bounds; the
	// request only names what the caller holds.
	req := &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: NewQuery(base)}}
	resp, err := m.cfg.Client.Call(ctx, address, req)
	if err != nil {
		return err
	}
	if resp.GetHeartbeat() == nil {
		return errors.New("the answer is no heartbeat")
	}
	heartbeat, err := Reconstruct(base, resp.GetHeartbeat())
	if err != nil {
		return err
	}
	m.store(Member{Incarnation: heartbeat.GetIncarnation(), Address: address, SentAt: sent, LastHeartbeat: heartbeat})
	return nil
}

func (m *Membership) store(member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := (*m.members.Load())[member.Incarnation]; ok {
		member = NewerMember(known, member)
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
		if elapsed.Max(now, v.SentAt) <= 10*ReachabilityTimeout {
			next[k] = v
		}
	}
	m.members.Store(&next)
}
