package logstream

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	snapshotSuffix = "-snapshots"
	// maxChunkBytes is the size of a chunk's data; base64 and the envelope
	// keep a payload below 512 KiB.
	maxChunkBytes = 360 << 10
	// offsetPastEnd is an offset beyond the end of any stream.
	offsetPastEnd   = 1 << 62
	maxLoadAttempts = 3
)

// ErrNoSnapshot means that the log has no complete snapshot of the stream.
var ErrNoSnapshot = errors.New("the log has no complete snapshot")

// Snapshot is a state of one stream of the log.
type Snapshot struct {
	// Identity is the identity of the stream in the log.
	Identity string
	State    *statemachine.State
}

// snapshotChunk is one payload of the snapshot stream.
type snapshotChunk struct {
	Schema   int    `json:"schema"`
	Identity string `json:"identity"`
	Next     uint64 `json:"next"`
	Index    int    `json:"index"`
	Count    int    `json:"count"`
	// Sum is the checksum of the whole data.
	Sum  uint64 `json:"sum"`
	Data []byte `json:"data"`
}

// key identifies the snapshot that the chunk belongs to.
func (c snapshotChunk) key() string {
	return fmt.Sprintf("%s/%d/%d/%x", c.Identity, c.Next, c.Count, c.Sum)
}

// SnapshotStore stores the snapshots of one stream in a separate stream.
type SnapshotStore struct {
	log        provider.Log
	name       string
	chunkBytes int
}

// NewSnapshotStore returns the snapshot store of the named stream.
func NewSnapshotStore(log provider.Log, stream string) *SnapshotStore {
	return &SnapshotStore{log: log, name: stream + snapshotSuffix, chunkBytes: maxChunkBytes}
}

// Save appends the snapshot in chunks. After an error the log may contain a
// part of the chunks, which is harmless.
func (s *SnapshotStore) Save(ctx context.Context, snapshot Snapshot) error {
	data, err := statemachine.EncodeSnapshot(snapshot.State)
	if err != nil {
		return err
	}
	for _, chunk := range splitIntoChunks(snapshot, data, s.chunkBytes) {
		payload, err := json.Marshal(chunk)
		if err != nil {
			return errors.Wrap(err, "encode chunk")
		}
		if _, err := s.log.Append(ctx, s.name, [][]byte{payload}); err != nil {
			return err
		}
	}
	return nil
}

func splitIntoChunks(snapshot Snapshot, data []byte, size int) []snapshotChunk {
	count := (len(data) + size - 1) / size
	out := make([]snapshotChunk, 0, count)
	for index := range count {
		end := min((index+1)*size, len(data))
		out = append(out, snapshotChunk{
			Schema: statemachine.SchemaVersion, Identity: snapshot.Identity, Next: snapshot.State.NextOffset,
			Index: index, Count: count, Sum: xxhash.Sum64(data), Data: data[index*size : end],
		})
	}
	return out
}

// Load returns the complete snapshot with the highest offset, or ErrNoSnapshot.
func (s *SnapshotStore) Load(ctx context.Context) (Snapshot, error) {
	var err error
	for range maxLoadAttempts {
		var out Snapshot
		out, err = s.loadOnce(ctx)
		if provider.CodeOf(err) != provider.CodeTrimmed {
			return out, err
		}
	}
	return Snapshot{}, err
}

// loadOnce reads the snapshot stream from its oldest payload to its end.
func (s *SnapshotStore) loadOnce(ctx context.Context) (Snapshot, error) {
	end, err := s.log.Read(ctx, s.name, offsetPastEnd, 1, 0)
	if err != nil {
		return Snapshot{}, err
	}
	assembly := newSnapshotAssembler()
	for from := end.OldestOffset; from < end.NextOffset; {
		page, err := s.log.Read(ctx, s.name, from, 1, 0)
		if err != nil {
			return Snapshot{}, err
		}
		if len(page.Payloads) == 0 {
			break
		}
		for _, payload := range page.Payloads {
			assembly.addChunk(payload)
		}
		from += uint64(len(page.Payloads))
	}
	return assembly.latestSnapshot()
}
