package logstream

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// maxChunks bounds the chunks of one snapshot.
const maxChunks = statemachine.MaxSnapshotBytes / maxChunkBytes

// snapshotAssembler reassembles snapshots from their chunks and retains the
// complete one with the highest offset.
type snapshotAssembler struct {
	chunks map[string]map[int][]byte
	latest Snapshot
}

func newSnapshotAssembler() *snapshotAssembler {
	return &snapshotAssembler{chunks: make(map[string]map[int][]byte)}
}

// addChunk adds one payload. Payloads that are not valid chunks are ignored.
func (a *snapshotAssembler) addChunk(payload []byte) {
	var chunk snapshotChunk
	if json.Unmarshal(payload, &chunk) != nil || chunk.Schema != statemachine.SchemaVersion {
		return
	}
	if chunk.Index < 0 || chunk.Index >= chunk.Count || chunk.Count > maxChunks {
		return
	}
	if a.latest.State != nil && chunk.Next <= a.latest.State.NextOffset {
		return
	}
	key := chunk.key()
	if a.chunks[key] == nil {
		a.chunks[key] = make(map[int][]byte)
	}
	a.chunks[key][chunk.Index] = chunk.Data
	if len(a.chunks[key]) == chunk.Count {
		a.complete(chunk, a.chunks[key])
		delete(a.chunks, key)
	}
}

// complete verifies and decodes a snapshot whose chunks are all present.
func (a *snapshotAssembler) complete(last snapshotChunk, chunks map[int][]byte) {
	var data bytes.Buffer
	for index := range last.Count {
		data.Write(chunks[index])
	}
	if xxhash.Sum64(data.Bytes()) != last.Sum {
		return
	}
	state, err := statemachine.DecodeSnapshot(data.Bytes())
	if err != nil || state.NextOffset != last.Next {
		return
	}
	a.latest = Snapshot{Identity: last.Identity, State: state}
}

func (a *snapshotAssembler) latestSnapshot() (Snapshot, error) {
	if a.latest.State == nil {
		return Snapshot{}, ErrNoSnapshot
	}
	return a.latest, nil
}
