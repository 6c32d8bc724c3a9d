package emulator

import (
	"encoding/json"
	"fmt"
)

// Request paths, for selecting faults.
const (
	StartPath = "/run-start"
	StopPath  = "/run-stop"
	PollPath  = "/hold"
	// AppendPath is the store's, the others a worker's.
	AppendPath = "/log-append"
	NewestPath = "/log-newest"
)

// LeaderAppend is the query parameter that only the leader's appends have.
const LeaderAppend = "producer"

// Queue is a route of a manifest.
type Queue struct{ Name, Host, Prefix, Pool string }

// Manifest returns a manifest with the queues, the pools (true for spare) and one
// team.
func Manifest(version int, queues []Queue, pools map[string]bool, team, key string, milliCPU int) map[string]any {
	var routes, services []any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.Name, "host": q.Host, "path-prefix": q.Prefix, "service": q.Pool,
			"kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 3,
			"stretch": 2.0, "public": false})
	}
	for name, spare := range pools {
		services = append(services, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 64,
			"admission-check": false, "standby": spare})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants": []any{map[string]any{"name": team, "api-keys": []string{key}, "weight": 1, "cap": map[string]int{"cpu": milliCPU}}},
	}
}

// PublishManifest publishes the manifest.
func (s *Store) PublishManifest(m map[string]any) { s.Put("keyed.op", "config", m) }

// PublishWave publishes a maintenance wave for the VMs.
func (s *Store) PublishWave(number int, vms []string, deadlineS float64, maxUnavailable int) {
	s.Put("keyed.op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": vms, "deadline-s": deadlineS, "cap": maxUnavailable})
}

// WaveCompleted reports whether the wave's published state is completed.
func (s *Store) WaveCompleted(number int) bool {
	raw, found := s.Newest("keyed.status", fmt.Sprintf("wave/%d", number))
	var status struct {
		State string `json:"state"`
	}
	return found && json.Unmarshal(raw, &status) == nil && status.State == "completed"
}

// Step is a step in the body of a job.
type Step struct {
	Count          int   `json:"count,omitempty"`
	MilliCPU       int   `json:"cpu,omitempty"`
	EstimateMillis int   `json:"est-runtime-ms,omitempty"`
	DependsOn      []int `json:"depends-on,omitempty"`
	LongRunning    bool  `json:"long-running,omitempty"`
	MaxUnavailable int   `json:"may-miss,omitempty"`
	// Constraint is a label that the workers must have.
	Constraint string `json:"constraints,omitempty"`
	// MaxPerWorker is how many of the tasks one worker may have; 0 for any.
	MaxPerWorker int `json:"anti-affinity,omitempty"`
}

// JobBody returns the body of a job.
func JobBody(spec string, steps ...Step) string {
	raw, err := json.Marshal(map[string]any{"spec": spec, "phases": steps})
	if err != nil {
		panic(err)
	}
	return string(raw)
}
