package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// fleet holds the VMs and the published VM list, which may be out of date.
type fleet struct {
	recorder  *recorder
	vms       map[string]*vm
	published atomic.Pointer[vmList]
}

func newFleet(infos []provider.VMInfo) *fleet {
	f := &fleet{recorder: newRecorder(), vms: make(map[string]*vm, len(infos))}
	for _, info := range infos {
		f.vms[info.ID] = newVM(info, f.recorder)
	}
	f.refresh()
	return f
}

// refresh publishes the current VM list. It stays as it is until the next call.
func (f *fleet) refresh() {
	list := make([]provider.VMInfo, 0, len(f.vms))
	for _, v := range f.vms {
		list = append(list, v.listEntry())
	}
	slices.SortFunc(list, func(a, b provider.VMInfo) int { return strings.Compare(a.ID, b.ID) })
	f.published.Store(newVMList(list))
}

func (f *fleet) handleList(w http.ResponseWriter, r *http.Request) {
	f.published.Load().serve(w, r)
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
