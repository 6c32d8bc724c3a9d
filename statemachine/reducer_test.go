package statemachine

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// applyCommands applies the commands as records 1, 2, ... of one writer, each
// in its own payload, and returns the last result.
func applyCommands(t *testing.T, s *State, writer string, commands ...Command) (*State, Result) {
	t.Helper()
	var result Result
	position, _ := s.Writers.Get(writer)
	for i, command := range commands {
		batch := Batch{Writer: writer, AtMS: position.AtMS + int64(i), Records: []Record{{Seq: position.Seq + uint64(i) + 1, Command: command}}}
		next, results := s.Apply(s.NextOffset, encodeAndDecode(t, batch))
		require.Greater(t, next.NextOffset, s.NextOffset)
		s, result = next, results[0]
	}
	return s, result
}

// encodeAndDecode returns the batch after encoding and decoding.
func encodeAndDecode(t *testing.T, batch Batch) Batch {
	t.Helper()
	raw, err := EncodeBatch(batch)
	require.NoError(t, err)
	out, err := DecodeBatch(raw)
	require.NoError(t, err)
	return out
}

// newBaseState returns a state with two pools, a template, a workspace, a VM, a
// failed VM, and two keys of which one is withdrawn.
func newBaseState(t *testing.T) *State {
	t.Helper()
	s, result := applyCommands(t, New(), "base",
		&PoolSet{Pool: Pool{Name: "a", MaxUnavailable: 1}}, &PoolSet{Pool: Pool{Name: "b"}},
		&TemplateSet{Template: Template{Name: "t", Pools: []string{"a"}, Queues: []Queue{{Name: "q", Class: ClassUrgent}}}},
		&WorkspaceSet{Workspace: Workspace{Name: "w", Template: "t", Team: "one", SharePermille: 600, Limit: 4, PublicQueues: []string{"q"}}},
		&VMAdd{VM: VM{ID: "vm", Pool: "a"}}, &VMAdd{VM: VM{ID: "lost", Pool: "b", AvailabilityZone: "z"}}, &VMFailed{VM: "lost", Condition: ConditionFailed},
		&KeyGrant{Hash: "live", Workspace: "w"}, &KeyGrant{Hash: "gone", Workspace: "w"}, &KeyWithdraw{Hash: "gone"},
	)
	require.Nil(t, result.Rejection)
	return s
}

// TestApply_VersionRace checks that of two records that expect the same version
// the first one applies, and the other changes nothing.
func TestApply_VersionRace(t *testing.T) {
	races := map[string][2]Command{
		"pool created":     {&PoolSet{Pool: Pool{Name: "p"}}, &PoolSet{Pool: Pool{Name: "p", Spare: true}}},
		"pool changed":     {&PoolSet{Pool: Pool{Name: "a"}, Expected: 1}, &PoolSet{Pool: Pool{Name: "a", Spare: true}, Expected: 1}},
		"template changed": {templateAt("t", 1, "q"), templateAt("t", 1, "q", "r")},
		"workspace changed": {
			&WorkspaceSet{Workspace: Workspace{Name: "w", Template: "t", Team: "one", Limit: 1}, Expected: 1},
			&WorkspaceSet{Workspace: Workspace{Name: "w", Template: "t", Team: "one", Limit: 2}, Expected: 1},
		},
		"VM drained twice":        {&VMDrain{VM: "vm", Pool: "a", Expected: 1, MoveTo: "b"}, &VMDrain{VM: "vm", Pool: "a", Expected: 1}},
		"VM recovered or removed": {&VMRecovered{VM: "lost", Expected: 2}, &VMRemove{VM: "lost", Expected: 2}},
	}
	for name, race := range races {
		for _, order := range [][2]int{{0, 1}, {1, 0}} {
			t.Run(name, func(t *testing.T) {
				won, first := applyCommands(t, newBaseState(t), "x", race[order[0]])
				require.Nil(t, first.Rejection)
				after, second := applyCommands(t, won, "y", race[order[1]])
				require.NotNil(t, second.Rejection)
				require.Contains(t, []Reason{ReasonVersion, ReasonNotFound}, second.Rejection.Reason)
				require.Equal(t, comparableState(t, won), comparableState(t, after))
			})
		}
	}
}

func templateAt(name string, expected uint64, queues ...string) *TemplateSet {
	template := Template{Name: name, Pools: []string{"a"}}
	for _, queue := range queues {
		template.Queues = append(template.Queues, Queue{Name: queue, Class: ClassUrgent})
	}
	return &TemplateSet{Template: template, Expected: expected}
}

// comparableState returns the state without the fields that every record
// changes.
func comparableState(t *testing.T, s *State) State {
	t.Helper()
	out := *s
	out.NextOffset, out.Writers = 0, Table[WriterPosition]{}
	return out
}

// TestApply_Rules checks which records the reducer rejects.
func TestApply_Rules(t *testing.T) {
	workspace := func(change func(*Workspace)) Command {
		w := Workspace{Name: "new", Template: "t", Team: "two", SharePermille: 400, Limit: 1}
		change(&w)
		return &WorkspaceSet{Workspace: w}
	}
	cases := []struct {
		name      string
		command   Command
		rejection Reason
	}{
		{"shares add up to the whole", workspace(func(*Workspace) {}), ""},
		{"shares above the whole", workspace(func(w *Workspace) { w.SharePermille = 401 }), ReasonInvalid},
		{"share below 0", workspace(func(w *Workspace) { w.SharePermille = -1 }), ReasonInvalid},
		{"share that overflows the sum", workspace(func(w *Workspace) { w.SharePermille = math.MaxInt }), ReasonInvalid},
		{"limit 0", workspace(func(w *Workspace) { w.Limit = 0 }), ""},
		{"limit below 0", workspace(func(w *Workspace) { w.Limit = -1 }), ReasonInvalid},
		{"team of another workspace", workspace(func(w *Workspace) { w.Team = "one" }), ReasonExists},
		{"unknown template", workspace(func(w *Workspace) { w.Template = "u" }), ReasonNotFound},
		{"unknown open queue", workspace(func(w *Workspace) { w.PublicQueues = []string{"r"} }), ReasonNotFound},
		{"workspace given to another team", &WorkspaceSet{Workspace: Workspace{Name: "w", Template: "t", Team: "two"}, Expected: 1}, ReasonInvalid},
		{"template drops an open queue", templateAt("t", 1, "r"), ReasonInvalid},
		{"new template at a version", templateAt("u", 1, "q"), ReasonVersion},
		{"budget below 0", &PoolSet{Pool: Pool{Name: "c", MaxUnavailable: -1}}, ReasonInvalid},
		{"key granted", &KeyGrant{Hash: "new", Workspace: "w"}, ""},
		{"key granted twice", &KeyGrant{Hash: "live", Workspace: "w"}, ReasonExists},
		{"withdrawn key granted again", &KeyGrant{Hash: "gone", Workspace: "w"}, ReasonWithdrawn},
		{"key for no workspace", &KeyGrant{Hash: "new", Workspace: "v"}, ReasonNotFound},
		{"key withdrawn twice", &KeyWithdraw{Hash: "gone"}, ""},
		{"unknown key withdrawn", &KeyWithdraw{Hash: "new"}, ReasonNotFound},
		{"VM added twice", &VMAdd{VM: VM{ID: "vm", Pool: "b"}}, ReasonExists},
		{"VM added to no pool", &VMAdd{VM: VM{ID: "vm2", Pool: "c"}}, ReasonNotFound},
		{"VM drained from another pool", &VMDrain{VM: "vm", Pool: "b", MoveTo: "a", Expected: 1}, ReasonVersion},
		{"VM drained for no pool", &VMDrain{VM: "vm", Pool: "a", MoveTo: "c", Expected: 1}, ReasonNotFound},
		{"VM moved without the lease", &VMMove{VM: "vm", From: "a", To: "b", Expected: 1}, ReasonEpoch},
		{"entry joins as another", &EntryJoin{Entry: Entry{Incarnation: "y"}}, ReasonWriter},
		{"entry leaves for another", &EntryLeave{Incarnation: "y"}, ReasonWriter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := newBaseState(t)
			after, result := applyCommands(t, before, "x", c.command)
			if c.rejection == "" {
				require.Nil(t, result.Rejection)
				return
			}
			require.NotNil(t, result.Rejection)
			require.Equal(t, c.rejection, result.Rejection.Reason)
			require.Equal(t, comparableState(t, before), comparableState(t, after))
		})
	}
}

// TestApply_NextOffsetNeverDecreases checks applied offsets and skipped payloads.
func TestApply_NextOffsetNeverDecreases(t *testing.T) {
	s := newBaseState(t)
	batch := Batch{Writer: "x", Records: []Record{{Seq: 1, Command: &PoolSet{Pool: Pool{Name: "late"}}}}}
	old, results := s.Apply(s.NextOffset-1, batch)
	require.Same(t, s, old)
	require.Empty(t, results)
	require.Same(t, s, s.Skip(s.NextOffset-1))
	require.Equal(t, s.NextOffset+1, s.Skip(s.NextOffset).NextOffset)
}
