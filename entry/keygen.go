package entry

import (
	"crypto/rand"
	"encoding/base64"
)

const keyBytes = 32

// newKey returns a new random key.
func newKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	return "ak_" + base64.RawURLEncoding.EncodeToString(raw)
}
