// Command standin-3 plays the cases of the third review: it stands in for the platform, its
// workers and its clients, and starts the entries as processes.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// bed is a small site.
type bed struct {
	record  *record
	store   *store
	workers []*worker
	entries []*entry
	trouble bool
	dir     string
	binary  string
	storeAt string
	// handedIn counts the jobs that the clients have handed in.
	handedIn int
	vmsAt    string
	// linkRate is the rate of each entry's link to the store, in bytes a second; 0 for no limit.
	linkRate float64
}

var cases = map[string]func(*bed) (int, error){
	"finished-jobs":   finishedJobs,
	"slow-links":      slowLinks,
	"cancelled-jobs":  cancelledJobs,
	"rack-local-gang": rackLocalGang,
	"rack-local-step": rackLocalStep,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, recordPath string) int {
	run, known := cases[name]
	rec, err := newRecord(recordPath)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	b := &bed{record: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, binary: binary}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		b.close()
		os.Exit(notRun)
	}()
	result, err := run(b)
	b.close()
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	}
	fmt.Println([]string{"the rule held", "the rule was broken"}[result])
	return result
}

func (b *bed) close() {
	for _, e := range b.entries {
		e.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// serveStore opens the addresses of the store and of the machine interface.
func (b *bed) serveStore() error {
	for handler, address := range map[http.Handler]*string{b.store: &b.storeAt, &machines{bed: b}: &b.vmsAt} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	}
	return nil
}

// machines is the interface of the machines, which are all up and stay where they are.
type machines struct{ bed *bed }

// ServeHTTP implements http.Handler.
func (m *machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	list := []any{}
	for _, worker := range m.bed.workers {
		list = append(list, worker.machine())
	}
	reply(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}

// addEntries starts the entries and waits until they are ready.
func (b *bed) addEntries(n int, memoryMB int64) error {
	binary, err := filepath.Abs(b.binary)
	if err != nil {
		return err
	}
	for i := range n {
		storeAt := b.storeAt
		if b.linkRate > 0 {
			l, err := newLink(storeAt, b.linkRate)
			if err != nil {
				return err
			}
			storeAt = l.address()
		}
		e, err := newEntry(b.record, binary, b.dir, fmt.Sprintf("entry-%d", i), fmt.Sprintf("z%d", i), storeAt, b.vmsAt, memoryMB)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, e)
	}
	return waitUntil(readyWithin, func() bool {
		for _, e := range b.entries {
			if !e.ready() {
				return false
			}
		}
		return true
	})
}
