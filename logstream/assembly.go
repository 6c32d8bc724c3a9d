package logstream

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// maxChunks bounds the chunks of one snapshot.
const maxChunks = statemachine.MaxSnapshotBytes / maxChunkBytes

// assembly puts the chunks of snapshots together and keeps the whole one with
// the highest offset.
type assembly struct {
	parts map[string]map[int][]byte
	whole Snapshot
}

func newAssembly() *assembly {
	return &assembly{parts: make(map[string]map[int][]byte)}
}

// add takes one payload. Payloads that are no chunk are passed over.
func (a *assembly) add(payload []byte) {
	var chunk snapshotChunk
	if json.Unmarshal(payload, &chunk) != nil || chunk.Schema != statemachine.SchemaVersion {
		return
	}
	if chunk.Index < 0 || chunk.Index >= chunk.Count || chunk.Count > maxChunks {
		return
	}
	if a.whole.State != nil && chunk.Next <= a.whole.State.NextOffset {
		return
	}
	key := chunk.key()
	if a.parts[key] == nil {
		a.parts[key] = make(map[int][]byte)
	}
	a.parts[key][chunk.Index] = chunk.Data
	if len(a.parts[key]) == chunk.Count {
		a.finish(chunk, a.parts[key])
		delete(a.parts, key)
	}
}

// finish checks a snapshot of which all chunks are there.
func (a *assembly) finish(last snapshotChunk, parts map[int][]byte) {
	var data bytes.Buffer
	for index := range last.Count {
		data.Write(parts[index])
	}
	if xxhash.Sum64(data.Bytes()) != last.Sum {
		return
	}
	state, err := statemachine.DecodeSnapshot(data.Bytes())
	if err != nil || state.NextOffset != last.Next {
		return
	}
	a.whole = Snapshot{Identity: last.Identity, State: state}
}

func (a *assembly) best() (Snapshot, error) {
	if a.whole.State == nil {
		return Snapshot{}, ErrNoSnapshot
	}
	return a.whole, nil
}
