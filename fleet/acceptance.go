package fleet

// Acceptance is what the manifest said of a job when an entry accepted it. It is stored
// with the job, so that every later leader treats the job alike, also once the manifest
// no longer has its queue.
type Acceptance struct {
	ManifestVersion int64 `json:"v"`
	// Queue lacks what only concerns calls: name, host, prefix, key and timeout.
	Queue Queue `json:"q"`
}

// AcceptUnder records that the job is accepted for the queue of the manifest.
func (s *Submission) AcceptUnder(m *Manifest, q *Queue) {
	s.Queue = q.Name
	policy := *q
	policy.Name, policy.Host, policy.Prefix, policy.Public, policy.Timeout = "", "", "", false, 0
	s.Acceptance = &Acceptance{ManifestVersion: m.Version, Queue: policy}
}

// AcceptedQueue returns the queue as it was when the job was accepted; ok is false for
// records of releases that did not store it.
func (s *Submission) AcceptedQueue() (q Queue, ok bool) {
	if s.Acceptance == nil {
		return Queue{}, false
	}
	q = s.Acceptance.Queue
	q.Name = s.Queue
	return q, true
}
