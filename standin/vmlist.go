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

// vmList is a snapshot of the VM list, encoded once for all readers.
type vmList struct {
	etag    string
	plain   []byte
	gzipped []byte
}

func newVMList(list []provider.VMInfo) *vmList {
	plain, _ := json.Marshal(list)
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	_, _ = zip.Write(plain)
	_ = zip.Close()
	return &vmList{etag: fmt.Sprintf("\"%016x\"", xxhash.Sum64(plain)), plain: plain, gzipped: buf.Bytes()}
}

// serve sends the list, or status 304 if the client has this version.
func (l *vmList) serve(w http.ResponseWriter, r *http.Request) {
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
