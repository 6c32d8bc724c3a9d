package entry

import (
	"fmt"
	"iter"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// churn models a log with random membership changes and the offset that each
// process has applied.
type churn struct {
	// states holds the state after each offset.
	states  []*statemachine.State
	seq     map[string]uint64
	applied map[string]uint64
	// changes are the offsets of changes of the configuration.
	changes []uint64
	joined  int
}

func newChurn(members int) *churn {
	c := &churn{states: []*statemachine.State{statemachine.New()}, seq: map[string]uint64{}, applied: map[string]uint64{}}
	for range members {
		c.join()
	}
	return c
}

func (c *churn) latest() *statemachine.State { return c.states[len(c.states)-1] }

func (c *churn) append(writer string, command statemachine.Command) *statemachine.Rejection {
	c.seq[writer]++
	next, results := c.latest().Apply(c.latest().NextOffset, statemachine.Batch{Writer: writer, Records: []statemachine.Record{
		{Seq: c.seq[writer], Command: command},
	}})
	c.states = append(c.states, next)
	return results[0].Rejection
}

func (c *churn) join() {
	name := fmt.Sprintf("e%d", c.joined)
	c.joined++
	c.append(name, &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: name}})
	c.applied[name] = c.latest().NextOffset
}

// drawProcess draws one of the processes that have not left.
func (c *churn) drawProcess(t *rapid.T, label string) string {
	names := make([]string, 0, len(c.applied))
	for name := range c.applied {
		names = append(names, name)
	}
	slices.Sort(names)
	return rapid.SampledFrom(names).Draw(t, label)
}

// step appends one record and lets one process apply a part of the log.
func (c *churn) step(t *rapid.T) {
	writer, other := c.drawProcess(t, "writer"), c.drawProcess(t, "other")
	switch rapid.IntRange(0, 8).Draw(t, "record") {
	case 0:
		c.join()
	case 1:
		if len(c.applied) > 1 && c.append(writer, &statemachine.EntryLeave{Incarnation: writer}) == nil {
			delete(c.applied, writer)
		}
	case 2, 3:
		version := c.states[c.applied[writer]].MembershipVersion
		c.append(writer, &statemachine.EntryAck{Version: version})
	case 4:
		c.append(writer, &statemachine.EntryRemove{Incarnation: other})
	case 5:
		c.reclaim(writer, other)
	default:
		c.changes = append(c.changes, c.latest().NextOffset)
		c.append(writer, &statemachine.PoolSet{Pool: statemachine.Pool{Name: fmt.Sprint(len(c.changes))}})
	}
	reader := c.drawProcess(t, "reader")
	c.applied[reader] = rapid.Uint64Range(c.applied[reader], c.latest().NextOffset).Draw(t, "applied")
}

// reclaim reclaims the other's allotment as entries do, once it can no longer
// find a majority.
func (c *churn) reclaim(writer, other string) {
	state := c.states[c.applied[writer]]
	removed, ok := state.Entries.Get(other)
	if !ok || removed.State != statemachine.EntryRemoved {
		return
	}
	unconfirmed := quota.CountUnconfirmed(state, removed, func(name string) bool {
		return c.applied[name] > removed.RemovedAt
	})
	if !removed.Electorate.CanHaveMajority(unconfirmed) {
		c.append(writer, &statemachine.EntryReclaim{Incarnation: other})
	}
}

// reportsAccepted reports whether a randomly drawn process considers the change
// accepted.
func (c *churn) reportsAccepted(t *rapid.T, offset uint64, rule acceptanceRule) bool {
	reader := c.drawProcess(t, "asked")
	if c.applied[reader] <= offset {
		return false
	}
	return rule(c.states[c.applied[reader]], c.applied, offset)
}

// checkNoMajorityWithout returns an error if a process without the change finds a
// majority without it: a member, or a process that has not joined and copied
// its state from another.
func (c *churn) checkNoMajorityWithout(offset uint64) error {
	for name, applied := range c.applied {
		if applied > offset {
			continue
		}
		known := c.states[applied]
		if _, ok := known.Member(name); ok && membership.IsMajority(c.votes(known.Entries.All(), offset), known.Entries.Len()) {
			return fmt.Errorf("%s at offset %d finds a majority without the change at %d", name, applied, offset)
		}
		if membership.IsMajority(c.votes(known.Members(), applied), known.Entries.Len()) {
			return fmt.Errorf("a new process at offset %d finds a majority without the change at %d", applied, offset)
		}
	}
	return nil
}

// votes counts the running entries that have applied no more than the offset.
func (c *churn) votes(entries iter.Seq2[string, *statemachine.Entry], offset uint64) int {
	votes := 0
	for entry := range entries {
		if at, works := c.applied[entry]; works && at <= offset {
			votes++
		}
	}
	return votes
}

type acceptanceRule func(state *statemachine.State, said map[string]uint64, offset uint64) bool

// exploreChurn runs random schedules and returns the number of accepted changes
// and the violations found.
func exploreChurn(t *testing.T, rule acceptanceRule) (accepted int, faults []error) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChurn(rapid.IntRange(2, 6).Draw(t, "members"))
		for range 40 {
			c.step(t)
			for _, offset := range c.changes {
				if !c.reportsAccepted(t, offset, rule) {
					continue
				}
				accepted++
				if err := c.checkNoMajorityWithout(offset); err != nil {
					faults = append(faults, err)
				}
			}
		}
	})
	return accepted, faults
}

// TestAcceptance_MembersChange checks that no entry admits work without an
// accepted change while entries join, leave, are removed and reclaimed, and
// lag in acknowledging and applying records for any time.
func TestAcceptance_MembersChange(t *testing.T) {
	accepted, faults := exploreChurn(t, isAccepted)
	t.Logf("accepted %d", accepted)
	require.Empty(t, faults)
	require.Greater(t, accepted, 100)
}

// TestAcceptance_CurrentMajorityIsUnsafe shows that more than half of the current
// entries do not suffice while the membership changes.
func TestAcceptance_CurrentMajorityIsUnsafe(t *testing.T) {
	currentMajority := func(state *statemachine.State, offsets map[string]uint64, offset uint64) bool {
		knowing := 0
		for name := range state.Entries.All() {
			if offsets[name] > offset {
				knowing++
			}
		}
		return membership.IsMajority(knowing, state.Entries.Len())
	}
	accepted, faults := exploreChurn(t, currentMajority)
	t.Logf("accepted %d, broken %d", accepted, len(faults))
	require.NotEmpty(t, faults)
}
