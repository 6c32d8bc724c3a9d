package fleetentry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// tokensPerTerm is how many fencing tokens a leader holds: the incarnations that it sees
	// of one worker under one ID get successive ones. Those after the last share it.
	tokensPerTerm = 64
	// electionTimeout is the time without a heartbeat after which another entry
	// campaigns. Heartbeats are sent every heartbeatInterval, and an append takes up
	// to a quarter of a second on the store's slow days.
	electionTimeout = 900 * time.Millisecond
	// electionJitter spreads the campaigns of several entries.
	electionJitter = 100 * time.Millisecond
	// minLeaderCPUShare is the share of a processor from which an entry can lead a
	// fleet of some hundred workers; smaller ones wait up to smallEntryDelay longer.
	minLeaderCPUShare = 0.4
	smallEntryDelay   = 700 * time.Millisecond
	// failingReadsDelay is how much longer an entry waits that cannot read what other
	// entries have stored: it could not begin to lead.
	failingReadsDelay = electionTimeout
	// failedTakeoverBackoff lets the other entries go first after a takeover that failed.
	failedTakeoverBackoff = electionTimeout + smallEntryDelay
	// firstElectionFactor multiplies the wait for larger entries while there has
	// never been a leader.
	firstElectionFactor = 4
	// electionCheckInterval is how often an entry checks whether to campaign.
	electionCheckInterval = 50 * time.Millisecond
	// startupPeriod is for how long after its start an entry also checks the age of
	// the leader's record: later it has followed the ledger long enough itself.
	startupPeriod = 3 * time.Second
	// campaignTimeout bounds one campaign.
	campaignTimeout = 800 * time.Millisecond
	// staleHeartbeatAge is the wall-clock age from which a heartbeat found at start
	// counts as a dead leader's: the election timeout, and the possible skew between
	// two VMs' wall clocks.
	staleHeartbeatAge = electionTimeout + 200*time.Millisecond
	// missedHeartbeatTimeout is the time in which a live leader's heartbeat would
	// have arrived: its interval, a read and the delay between reads.
	missedHeartbeatTimeout = heartbeatInterval + 200*time.Millisecond
	// maxLedgerStaleness is the staleness up to which missing heartbeats are the
	// leader's failure and not the store's.
	maxLedgerStaleness = 900 * time.Millisecond
)

// Candidate decides when the entry campaigns for leadership.
type Candidate struct {
	store    Store
	follower *Follower
	node     string
	cpuShare float64
	log      hclog.Logger
	// claimsEnd is the end of the claim stream as far as known; -1 for unknown.
	claimsEnd int64
	startedAt time.Time
	// backoffUntil delays campaigns after another entry's claim.
	backoffUntil time.Time
	// freshSince is since when the ledger has been read without a gap; zero while it is
	// stale.
	freshSince time.Time
}

// NewCandidate returns a candidate of the node.
func NewCandidate(store Store, follower *Follower, node string, cpuShare float64, log hclog.Logger) *Candidate {
	return &Candidate{store: store, follower: follower, node: node, cpuShare: cpuShare, log: log.Named("claim"), startedAt: time.Now()}
}

// delay is how long this entry lets others go first: entries with a small part of a
// processor wait for larger ones, those whose reads fail for all others, and equal ones
// campaign in an order that differs by leader.
func (c *Candidate) delay(token int64) time.Duration {
	slot := xxhash.Sum64String(c.node+string(rune(token))) % 100
	delay := electionJitter * time.Duration(slot) / 100
	if c.cpuShare > 0 && c.cpuShare < minLeaderCPUShare {
		delay += time.Duration(float64(smallEntryDelay) * (minLeaderCPUShare - c.cpuShare) / minLeaderCPUShare)
	}
	if c.follower.JobReadsFailing() {
		delay += failingReadsDelay
	}
	return delay
}

// backOff lets other entries go first after a takeover that failed.
func (c *Candidate) backOff(now time.Time) { c.backoffUntil = now.Add(failedTakeoverBackoff) }

// shouldCampaign reports whether the fleet has no live leader.
func (c *Candidate) shouldCampaign(now time.Time) (bool, string) {
	staleness, known := c.follower.LedgerStaleness(now)
	if !known || staleness > maxLedgerStaleness {
		c.freshSince = time.Time{}
		return false, ""
	}
	if c.freshSince.IsZero() {
		c.freshSince = now
	}
	var leader ledger.Leader
	neverLed := false
	c.follower.Read(func(v *ledger.View) { leader, neverLed = v.Leader, v.LeaderOffset < 0 })
	sinceHeartbeat := c.follower.SinceLeaderHeartbeat(now)
	delay := c.delay(leader.FencingToken)
	switch {
	case neverLed:
		// No task waits yet: the largest entry should have the time to start.
		return sinceHeartbeat > firstElectionFactor*delay, "there has been no leader"
	case leader.Resigned:
		return sinceHeartbeat > delay/2, "the leader resigned"
	case now.Sub(c.startedAt) < startupPeriod && now.UnixMilli()-leader.AtMillis > staleHeartbeatAge.Milliseconds() && sinceHeartbeat > missedHeartbeatTimeout+delay:
		return true, "the leader's last heartbeat is old"
	default:
		// After an outage of the store every heartbeat is old: the leader may go on, and
		// entries with more of a processor go first.
		return sinceHeartbeat > electionTimeout+delay && now.Sub(c.freshSince) > missedHeartbeatTimeout+delay, "the leader's heartbeats have stopped"
	}
}

// Campaign claims leadership if that is due, and returns the first of its tokensPerTerm fencing
// tokens.
func (c *Candidate) Campaign(ctx context.Context, now time.Time) (token int64, ok bool) {
	due, reason := c.shouldCampaign(now)
	if !due || now.Before(c.backoffUntil) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	claim := slices.Repeat([]fleet.Record{c.claimRecord(now)}, tokensPerTerm)
	const maxAttempts = 3
	for range maxAttempts {
		first, end, err := c.store.Append(ctx, claimStream, claim, fleet.AppendOptions{Conditional: true, ExpectedEnd: c.claimsEnd})
		if err == nil {
			c.claimsEnd = end
			c.log.Info("claimed leadership", "token", first+1, "why", reason)
			return first + 1, true
		}
		if provider.CodeOf(err) != provider.CodeConflict {
			c.log.Warn("leadership claim failed", "error", err)
			c.backoffUntil = time.Now().Add(readRetryDelay)
			return 0, false
		}
		c.claimsEnd = end
		if stillDue, _ := c.shouldCampaign(time.Now()); !stillDue || !c.leaderHoldsLastClaim(end) {
			// Another entry has claimed, and may not have written to the ledger yet.
			c.backoffUntil = time.Now().Add(electionTimeout)
			return 0, false
		}
	}
	return 0, false
}

// leaderHoldsLastClaim reports whether the known leader made the last claim.
func (c *Candidate) leaderHoldsLastClaim(end int64) bool {
	held := false
	c.follower.Read(func(v *ledger.View) { held = v.Leader.Holds(end) })
	return held
}

func (c *Candidate) claimRecord(now time.Time) fleet.Record {
	raw, err := json.Marshal(ledger.Leader{Node: c.node, AtMillis: now.UnixMilli()})
	if err != nil {
		panic(err)
	}
	return fleet.Record{Key: "claim", Value: raw}
}
