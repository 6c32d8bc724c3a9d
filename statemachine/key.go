package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key authorizes its bearer to submit work for a workspace's team.
type Key struct {
	// Hash is the SHA-256 hash of the key, in hex.
	Hash      string `json:"hash"`
	Workspace string `json:"workspace"`
	// Label describes the purpose of the key.
	Label string `json:"label"`
	// Withdrawn keys cannot be granted again.
	Withdrawn bool `json:"withdrawn"`
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

const (
	// KindKeyGrant is the kind of KeyGrant.
	KindKeyGrant Kind = "key_grant"
	// KindKeyWithdraw is the kind of KeyWithdraw.
	KindKeyWithdraw Kind = "key_withdraw"
)

// KeyGrant makes a key valid.
type KeyGrant struct {
	Hash      string `json:"hash"`
	Workspace string `json:"workspace"`
	Label     string `json:"label"`
}

// Kind implements Command.
func (*KeyGrant) Kind() Kind { return KindKeyGrant }

func (c *KeyGrant) apply(next *State, _ applyContext) *Rejection {
	if _, ok := next.Workspaces.Get(c.Workspace); !ok {
		return rejectf(ReasonNotFound, "workspace %s does not exist", c.Workspace)
	}
	if key, ok := next.Keys.Get(c.Hash); ok {
		if key.Withdrawn {
			return rejectf(ReasonWithdrawn, "the key was withdrawn")
		}
		return rejectf(ReasonExists, "the key is already granted for workspace %s", key.Workspace)
	}
	key := &Key{Hash: c.Hash, Workspace: c.Workspace, Label: c.Label}
	next.Keys = next.Keys.Set(c.Hash, key)
	return nil
}

// KeyWithdraw invalidates a key permanently.
type KeyWithdraw struct {
	Hash string `json:"hash"`
}

// Kind implements Command.
func (*KeyWithdraw) Kind() Kind { return KindKeyWithdraw }

func (c *KeyWithdraw) apply(next *State, _ applyContext) *Rejection {
	key, ok := next.Keys.Get(c.Hash)
	if !ok {
		return rejectf(ReasonNotFound, "the key was never granted")
	}
	withdrawn := *key
	withdrawn.Withdrawn = true
	next.Keys = next.Keys.Set(c.Hash, &withdrawn)
	return nil
}
