package dispatch

import (
	"strings"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Control is the replicated configuration.
type Control interface {
	// State returns the latest state.
	State() *statemachine.State
	// Current reports whether the state is known to be current within the
	// bound that keyed work needs.
	Current() bool
}

// Grant is what an authorized request may use.
type Grant struct {
	Template  *statemachine.Template
	Workspace *statemachine.Workspace
	Queue     statemachine.Queue
}

// freshRetryAfter is the advice to a caller refused for a stale configuration.
const freshRetryAfter = time.Second

// authorize hashes the shown key and finds what the request may use.
func authorize(control Control, req Request) (*Grant, Outcome) {
	hash := ""
	if req.Key != "" {
		hash = statemachine.HashKey(req.Key)
	}
	return Authorize(control.State(), control.Current(), req.Queue, hash)
}

// Authorize finds the queue and checks the key, given by its hash or "" for
// none, against the state. Without a Grant the Outcome says why. It is pure.
func Authorize(state *statemachine.State, current bool, queue, keyHash string) (*Grant, Outcome) {
	grant := findQueue(state, queue)
	if grant == nil {
		return nil, notRun(CodeNoQueue, "there is no queue "+queue, 0)
	}
	if !current {
		return nil, notRun(CodeStaleConfiguration, "this entry cannot confirm that its configuration is current", freshRetryAfter)
	}
	if grant.Workspace.IsPublicQueue(grant.Queue.Name) {
		return grant, Outcome{}
	}
	if keyHash == "" {
		return nil, notRun(CodeNoKey, "the queue takes work only with a key", 0)
	}
	key, ok := state.Keys.Get(keyHash)
	if !ok || key.Withdrawn {
		return nil, notRun(CodeUnknownKey, "the key is not in force", 0)
	}
	if key.Workspace != grant.Workspace.Name {
		return nil, notRun(CodeForeignQueue, "the key is not for a queue of workspace "+grant.Workspace.Name, 0)
	}
	return grant, Outcome{}
}

func findQueue(state *statemachine.State, name string) *Grant {
	workspaceName, queueName, ok := strings.Cut(name, ".")
	if !ok {
		return nil
	}
	workspace, ok := state.Workspaces.Get(workspaceName)
	if !ok {
		return nil
	}
	template, ok := state.Templates.Get(workspace.Template)
	if !ok {
		return nil
	}
	queue, ok := template.Queue(queueName)
	if !ok {
		return nil
	}
	return &Grant{Template: template, Workspace: workspace, Queue: queue}
}
