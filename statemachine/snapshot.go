package statemachine

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxSnapshotBytes bounds a snapshot before compression.
const MaxSnapshotBytes = 256 << 20

// EncodeSnapshot encodes the state as compressed JSON.
func EncodeSnapshot(s *State) ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return out.Bytes(), nil
}

// DecodeSnapshot decodes what EncodeSnapshot made. It fails on damaged data
// and on more than MaxSnapshotBytes.
func DecodeSnapshot(raw []byte) (*State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	plain, err := io.ReadAll(io.LimitReader(zip, MaxSnapshotBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	if len(plain) > MaxSnapshotBytes {
		return nil, errors.Newf("snapshot exceeds %d bytes", MaxSnapshotBytes)
	}
	out := New()
	if err := json.Unmarshal(plain, out); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return out, nil
}
