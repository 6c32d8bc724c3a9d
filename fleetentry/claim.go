package fleetentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// ownerSilence is how long the owner may be silent before another entry
	// claims the fleet. The owner tells of itself every heartbeatEvery, and an
	// append takes up to a quarter of a second on the store's slow days.
	ownerSilence = 900 * time.Millisecond
	// claimSpread spreads the claims of several entries.
	claimSpread = 100 * time.Millisecond
	// ownerShare is the part of a processor from which an entry can own a fleet
	// of some hundred workers; smaller ones wait up to smallWait longer.
	ownerShare = 0.4
	smallWait  = 700 * time.Millisecond
	// firstClaim is how many times as long entries wait for larger ones while there
	// has never been an owner.
	firstClaim = 4
	// claimCheck is how often an entry looks whether to claim.
	claimCheck = 50 * time.Millisecond
	// startTime is for how long after its start an entry judges the owner by the
	// age of its record: later it has listened for long enough itself.
	startTime = 3 * time.Second
	// claimTimeout bounds one claim.
	claimTimeout = 800 * time.Millisecond
	// oldRecord is the age by the wall clock from which the record of an owner,
	// found at start, is taken as left by one that is gone: its silence, and what
	// the wall clocks of two VMs may differ by.
	oldRecord = ownerSilence + 200*time.Millisecond
	// missedHeartbeat is the silence in which an owner that lives would have been
	// heard: its period, a read and its pause.
	missedHeartbeat = heartbeatEvery + 200*time.Millisecond
	// freshFollow is the age of the state up to which silence is the owner's and
	// not the store's.
	freshFollow = 900 * time.Millisecond
)

// Candidate decides when the entry claims the fleet.
type Candidate struct {
	store    Store
	follower *Follower
	node     string
	share    float64
	log      hclog.Logger
	// end is where the claims end as far as this entry knows; -1 for unknown.
	end   int64
	began time.Time
	// waitUntil holds back after another entry's claim.
	waitUntil time.Time
}

// NewCandidate returns a claimer of the node.
func NewCandidate(store Store, follower *Follower, node string, share float64, log hclog.Logger) *Candidate {
	return &Candidate{store: store, follower: follower, node: node, share: share, log: log.Named("claim"), began: time.Now()}
}

// patience is how long this entry lets others go first: entries with a small part
// of a processor wait for larger ones, and equal ones claim in an order that
// differs by owner.
func (c *Candidate) patience(token int64) time.Duration {
	turn := xxhash.Sum64String(c.node+string(rune(token))) % 100
	out := claimSpread * time.Duration(turn) / 100
	if c.share > 0 && c.share < ownerShare {
		out += time.Duration(float64(smallWait) * (ownerShare - c.share) / ownerShare)
	}
	return out
}

// due reports whether the fleet has no owner that is heard.
func (c *Candidate) due(now time.Time) (bool, string) {
	age, known := c.follower.LedgerStaleness(now)
	if !known || age > freshFollow {
		return false, ""
	}
	var owner ledger.Leader
	none := false
	c.follower.Read(func(v *ledger.View) { owner, none = v.Leader, v.LeaderOffset < 0 })
	silence := c.follower.SinceLeaderHeartbeat(now)
	patience := c.patience(owner.FencingToken)
	switch {
	case none:
		// Nothing waits yet: the largest entry should have the time to start.
		return silence > firstClaim*patience, "there has been no owner"
	case owner.Resigned:
		return silence > patience/2, "the owner has stopped"
	case now.Sub(c.began) < startTime && now.UnixMilli()-owner.AtMillis > oldRecord.Milliseconds() && silence > missedHeartbeat+patience:
		return true, "the owner's record is old"
	default:
		return silence > ownerSilence+patience, "the owner is silent"
	}
}

// Campaign claims the fleet if that is due, and returns the fencing token.
func (c *Candidate) Campaign(ctx context.Context, now time.Time) (token int64, ok bool) {
	due, why := c.due(now)
	if !due || now.Before(c.waitUntil) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	record := c.record(now)
	const tries = 3
	for range tries {
		first, end, err := c.store.Append(ctx, claimStream, []fleet.Record{record}, fleet.AppendOptions{Conditional: true, ExpectedEnd: c.end})
		if err == nil {
			c.end = end
			c.log.Info("claimed the fleet", "token", first+1, "why", why)
			return first + 1, true
		}
		if provider.CodeOf(err) != provider.CodeConflict {
			c.log.Warn("the claim failed", "error", err)
			c.waitUntil = time.Now().Add(readRetry)
			return 0, false
		}
		c.end = end
		if still, _ := c.due(time.Now()); !still || !c.behind(end) {
			// Another entry has claimed, and may not have told the ledger yet.
			c.waitUntil = time.Now().Add(ownerSilence)
			return 0, false
		}
	}
	return 0, false
}

// behind reports whether the claims end with the owner that is silent.
func (c *Candidate) behind(end int64) bool {
	same := false
	c.follower.Read(func(v *ledger.View) { same = v.Leader.FencingToken >= end })
	return same
}

func (c *Candidate) record(now time.Time) fleet.Record {
	raw, err := json.Marshal(ledger.Leader{Node: c.node, AtMillis: now.UnixMilli()})
	if err != nil {
		panic(err)
	}
	return fleet.Record{Key: "claim", Value: raw}
}
