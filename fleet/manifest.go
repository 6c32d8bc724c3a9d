package fleet

import "strings"

// Manifest is one version of the configuration that operators publish. It is
// immutable once decoded.
type Manifest struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	// TeamByKey maps an API key to its team's name.
	TeamByKey map[string]string
	// MaxBodyBytes and MaxHeaderBytes limit a call's size.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
}

// QueueFor returns the queue of the host with the longest prefix of the path,
// or nil.
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

// QueueByName returns the queue with the name, or nil.
func (m *Manifest) QueueByName(name string) *Queue {
	for i := range m.Queues {
		if m.Queues[i].Name == name {
			return &m.Queues[i]
		}
	}
	return nil
}
