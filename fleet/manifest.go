package fleet

import "strings"

// Manifest is one version of what operators publish. It is never changed after
// it has been read.
type Manifest struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	// TeamByKey maps a key to its team's name.
	TeamByKey map[string]string
	// MaxBodyBytes and MaxHeaderBytes bound a call.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
}

// QueueFor returns the queue of the host with the longest prefix that the path
// begins with, or nil.
func (m *Manifest) QueueFor(host, path string) *Queue {
	var best *Queue
	for i := range m.Queues {
		q := &m.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// QueueByName returns the queue of that name, or nil.
func (m *Manifest) QueueByName(name string) *Queue {
	for i := range m.Queues {
		if m.Queues[i].Name == name {
			return &m.Queues[i]
		}
	}
	return nil
}
