package fleet

// Acceptance is what the manifest said of a job when an entry accepted it. It is stored
// with the job, so that every later leader treats the job alike, also once the manifest
// no longer has its queue or its team.
type Acceptance struct {
	ManifestVersion int64 `json:"v"`
	// Queue lacks what only concerns calls: name, host, prefix, key and timeout.
	Queue Queue `json:"q"`
	// Team lacks its name; it is nil for jobs without a team.
	Team *Team `json:"t,omitempty"`
}

// AcceptUnder records that the team's job is accepted for the queue of the manifest.
func (s *Submission) AcceptUnder(m *Manifest, q *Queue) {
	s.Queue = q.Name
	policy := *q
	policy.Name, policy.Host, policy.Prefix, policy.Public, policy.Timeout = "", "", "", false, 0
	s.Acceptance = &Acceptance{ManifestVersion: m.Version, Queue: policy}
	if team, known := m.Teams[s.Team]; known {
		s.Acceptance.Team = &Team{Weight: team.Weight, Cap: team.Cap}
	}
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

// AcceptedTeam returns the team as it was when the job was accepted; ok is false for jobs
// without a team, and for records of releases that did not store it.
func (s *Submission) AcceptedTeam() (t Team, ok bool) {
	if s.Acceptance == nil || s.Acceptance.Team == nil {
		return Team{}, false
	}
	t = *s.Acceptance.Team
	t.Name = s.Team
	return t, true
}
