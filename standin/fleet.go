package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// fleet holds the VMs and their lagging list.
type fleet struct {
	recorder *recorder
	vms      map[string]*vm
	listed   atomic.Pointer[listing]
}

func newFleet(infos []provider.VMInfo) *fleet {
	f := &fleet{recorder: newRecorder(), vms: make(map[string]*vm, len(infos))}
	for _, info := range infos {
		f.vms[info.ID] = newVM(info, f.recorder)
	}
	f.refresh()
	return f
}

// refresh brings the list up to date. Between two calls the list lags.
func (f *fleet) refresh() {
	list := make([]provider.VMInfo, 0, len(f.vms))
	for _, v := range f.vms {
		list = append(list, v.describe())
	}
	slices.SortFunc(list, func(a, b provider.VMInfo) int { return strings.Compare(a.ID, b.ID) })
	f.listed.Store(newListing(list))
}

func (f *fleet) handleList(w http.ResponseWriter, r *http.Request) {
	f.listed.Load().serve(w, r)
}

func (f *fleet) handleRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.recorder.snapshot())
}

func (f *fleet) handleFaults(w http.ResponseWriter, r *http.Request) {
	v := f.vms[r.PathValue("vm")]
	if v == nil {
		writeError(w, http.StatusNotFound, provider.CodeNotFound, "no such VM")
		return
	}
	var faults VMFaults
	if !readJSON(w, r, &faults) {
		return
	}
	v.setFaults(faults, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
