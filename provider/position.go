package provider

// Position tells where a VM's record of tasks stands.
type Position struct {
	// Record names the record.
	Record string `json:"record"`
	// Started is the number of tasks that it has ever held.
	Started uint64 `json:"started"`
}

// Position returns where the record stood when it was listed.
func (l TaskList) Position() Position {
	return Position{Record: l.Record, Started: l.Forgotten + uint64(len(l.Tasks))}
}
