package dispatch

import (
	"strings"
	"time"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Control provides the replicated configuration.
type Control interface {
	// State returns the latest known state.
	State() *statemachine.State
	// Current reports whether the state is fresh enough to authorize work that
	// needs a key.
	Current() bool
}

// Grant holds what an authorized request may use.
type Grant struct {
	Template  *statemachine.Template
	Workspace *statemachine.Workspace
	Queue     statemachine.Queue
}

// staleRetryAfter is the retry delay sent when the configuration is stale.
const staleRetryAfter = time.Second

// authorize hashes the presented key and looks up the grant.
func authorize(control Control, req Request) (*Grant, Outcome) {
	hash := ""
	if req.Key != "" {
		hash = statemachine.HashKey(req.Key)
	}
	return Authorize(control.State(), control.Current(), req.Queue, hash)
}

// Authorize looks up the queue and checks the key, given by its hash or "" for
// none. Without a Grant the Outcome has the reason. It is a pure function.
func Authorize(state *statemachine.State, current bool, queue, keyHash string) (*Grant, Outcome) {
	grant := findQueue(state, queue)
	if grant == nil {
		return nil, notRun(CodeNoQueue, "queue does not exist: "+queue, 0)
	}
	if !current {
		return nil, notRun(CodeStaleConfiguration, "this entry cannot confirm that its configuration is current", staleRetryAfter)
	}
	if grant.Workspace.IsPublicQueue(grant.Queue.Name) {
		return grant, Outcome{}
	}
	if keyHash == "" {
		return nil, notRun(CodeNoKey, "the queue requires an API key", 0)
	}
	key, ok := state.Keys.Get(keyHash)
	if !ok || key.Withdrawn {
		return nil, notRun(CodeUnknownKey, "the API key is unknown or was withdrawn", 0)
	}
	if key.Workspace != grant.Workspace.Name {
		return nil, notRun(CodeForeignQueue, "the API key is not valid for workspace "+grant.Workspace.Name, 0)
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
