package standin

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/provider"
)

// listing is one state of the VM list, encoded once for all readers.
type listing struct {
	etag    string
	plain   []byte
	gzipped []byte
}

func newListing(list []provider.VMInfo) *listing {
	plain, _ := json.Marshal(list)
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	_, _ = zip.Write(plain)
	_ = zip.Close()
	return &listing{etag: fmt.Sprintf("\"%016x\"", xxhash.Sum64(plain)), plain: plain, gzipped: buf.Bytes()}
}

// serve answers a read of the list, or says that it has not changed.
func (l *listing) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", l.etag)
	if r.Header.Get("If-None-Match") == l.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(l.gzipped)
		return
	}
	_, _ = w.Write(l.plain)
}
