package logstream

import "sync"

const (
	maxRecentPayloads = 1024
	maxRecentBytes    = 1 << 20
)

// payloadCache retains the latest payloads of the stream for processes that
// cannot read the log, bounded in number and in bytes.
type payloadCache struct {
	mu       sync.Mutex
	first    uint64
	payloads [][]byte
	bytes    int
}

// add appends the payload at the offset. After a gap the earlier payloads are
// discarded.
func (r *payloadCache) add(offset uint64, payload []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset != r.first+uint64(len(r.payloads)) {
		r.first, r.payloads, r.bytes = offset, nil, 0
	}
	r.payloads = append(r.payloads, payload)
	r.bytes += len(payload)
	for len(r.payloads) > maxRecentPayloads || r.bytes > maxRecentBytes {
		r.bytes -= len(r.payloads[0])
		r.payloads[0] = nil
		r.payloads = r.payloads[1:]
		r.first++
	}
}

// payloadsFrom returns the payloads from the offset up to the end offset. ok is
// false if some of them are not retained.
func (r *payloadCache) payloadsFrom(offset, end uint64) (payloads [][]byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= end {
		return nil, true
	}
	if offset < r.first || end > r.first+uint64(len(r.payloads)) {
		return nil, false
	}
	return append([][]byte(nil), r.payloads[offset-r.first:end-r.first]...), true
}
