package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// versionModel is the expected state: versions by pool and the highest record
// number by writer.
type versionModel struct {
	versions  map[string]uint64
	positions map[string]uint64
}

// apply reports whether the record takes effect.
func (m *versionModel) apply(writer string, seq uint64, c *PoolSet) bool {
	if seq <= m.positions[writer] {
		return false
	}
	m.positions[writer] = seq
	if m.versions[c.Pool.Name] != c.Expected {
		return false
	}
	m.versions[c.Pool.Name]++
	return true
}

// drawBatches draws the batches of a few writers, numbered per writer.
func drawBatches(t *rapid.T) []Batch {
	var out []Batch
	for w := range rapid.IntRange(1, 3).Draw(t, "writers") {
		var seq uint64
		for range rapid.IntRange(1, 4).Draw(t, "batches") {
			batch := Batch{Writer: fmt.Sprintf("w%d", w)}
			for range rapid.IntRange(1, 3).Draw(t, "records") {
				seq++
				pool := Pool{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")}
				expected := rapid.Uint64Range(0, 4).Draw(t, "expected")
				batch.Records = append(batch.Records, Record{Seq: seq, Command: &PoolSet{Pool: pool, Expected: expected}})
			}
			out = append(out, batch)
		}
	}
	return out
}

// TestApply_RandomSchedules delivers batches twice, late, in any order or not
// at all, and compares each result with the model.
func TestApply_RandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches := drawBatches(t)
		schedule := rapid.SliceOfN(rapid.IntRange(0, len(batches)-1), 1, 24).Draw(t, "schedule")
		state := New()
		model := &versionModel{versions: map[string]uint64{}, positions: map[string]uint64{}}
		effects := map[ID]int{}
		for _, index := range schedule {
			next, results := state.Apply(state.NextOffset, batches[index])
			require.Equal(t, state.NextOffset+1, next.NextOffset)
			for i, result := range results {
				record := batches[index].Records[i]
				applied := model.apply(batches[index].Writer, record.Seq, record.Command.(*PoolSet))
				require.Equal(t, applied, result.Rejection == nil)
				if applied {
					effects[result.ID]++
				}
			}
			state = next
		}
		for id, count := range effects {
			require.Equal(t, 1, count, "record %v took effect more than once", id)
		}
		for name, version := range model.versions {
			pool, ok := state.Pools.Get(name)
			require.Equal(t, version > 0, ok)
			if ok {
				require.Equal(t, version, pool.Version)
			}
		}
	})
}
