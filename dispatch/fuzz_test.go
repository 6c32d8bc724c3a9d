package dispatch

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// FuzzParseOrderKey checks that only UUIDs of version 7 within the window are
// taken as keys of orders, and that one key has one text.
func FuzzParseOrderKey(f *testing.F) {
	now := time.UnixMilli(1764800000000)
	for _, seed := range []string{
		"", "x", "019ae6c4-1400-7000-8000-000000000000", "019AE6C4-1400-7000-8000-000000000000", "{019ae6c4-1400-7000-8000-000000000000}",
		"urn:uuid:019ae6c4-1400-7000-8000-000000000000", "019ae6c4140070008000000000000000",
		"00000000-0000-7000-8000-000000000000", "ffffffff-ffff-7fff-bfff-ffffffffffff", "019ae6c4-1400-4000-8000-000000000000",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, refusal := parseOrderKey(text, now)
		if refusal.Kind != "" {
			require.Equal(t, NotRun, refusal.Kind)
			return
		}
		id, err := uuid.Parse(key.text)
		require.NoError(t, err)
		require.Equal(t, uuid.Version(7), id.Version())
		require.Equal(t, id.String(), key.text)
		age := now.Sub(time.UnixMilli(key.ms))
		require.LessOrEqual(t, age, statemachine.ClaimWindow)
		require.LessOrEqual(t, -age, statemachine.MaxKeyClockSkew)
	})
}

// FuzzAuthorize checks that no name of a queue and no key reach a queue that
// the state does not have.
func FuzzAuthorize(f *testing.F) {
	state := statemachine.New()
	commands := []statemachine.Command{
		&statemachine.PoolSet{Pool: statemachine.Pool{Name: "p", MaxUnavailable: 1}},
		&statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: []string{"p"}, Queues: []statemachine.Queue{{Name: "q", Class: statemachine.ClassUrgent, Idempotent: true, TimeoutMS: 1000}}}},
		&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "w", Template: "t", Team: "w", Limit: 1}},
		&statemachine.KeyGrant{Hash: statemachine.HashKey("k"), Workspace: "w"},
	}
	for i, command := range commands {
		batch := statemachine.Batch{Writer: "e", Records: []statemachine.Record{{Seq: uint64(i + 1), Command: command}}}
		next, results := state.Apply(uint64(i), batch)
		require.Nil(f, results[0].Rejection)
		state = next
	}
	for _, seed := range [][2]string{{"w.q", "k"}, {"w.q", ""}, {"w", "k"}, {".", "k"}, {"w.q.q", "k"}, {"W.Q", "k"}, {"w.q", "K"}, {"w.\x00", "k"}} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, queue, key string) {
		hash := ""
		if key != "" {
			hash = statemachine.HashKey(key)
		}
		grant, refusal := Authorize(state, true, queue, hash)
		if queue == "w.q" && key == "k" {
			require.NotNil(t, grant)
			return
		}
		require.Nil(t, grant)
		require.Equal(t, NotRun, refusal.Kind)
	})
}
