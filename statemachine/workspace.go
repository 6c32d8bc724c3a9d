package statemachine

import "slices"

// TotalSharePermille is the maximum sum of the shares of a template's
// workspaces.
const TotalSharePermille = 1000

// Workspace is one team's configured use of a template.
type Workspace struct {
	Name     string `json:"name" validate:"required,max=64,excludesall=./"`
	Template string `json:"template" validate:"required"`
	// Team owns the workspace. A team owns at most one workspace.
	Team string `json:"team" validate:"required,max=64"`
	// SharePermille is the team's share under full load, in parts of
	// TotalSharePermille.
	SharePermille int `json:"share_permille" validate:"min=0,max=1000"`
	// Limit is the number of tasks that the team may run concurrently.
	Limit int `json:"limit" validate:"min=0"`
	// PublicQueues accept work without a key.
	PublicQueues []string `json:"open_queues"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// IsPublicQueue reports whether the queue accepts work without a key.
func (w *Workspace) IsPublicQueue(queue string) bool {
	return slices.Contains(w.PublicQueues, queue)
}

// KindWorkspaceSet is the kind of WorkspaceSet.
const KindWorkspaceSet Kind = "workspace_set"

// WorkspaceSet creates or changes a workspace. It is rejected unless Expected
// is the workspace's version, or 0 for a new one.
type WorkspaceSet struct {
	Workspace Workspace `json:"workspace"`
	Expected  uint64    `json:"expected"`
}

// Kind implements Command.
func (*WorkspaceSet) Kind() Kind { return KindWorkspaceSet }

func (c *WorkspaceSet) apply(next *State, _ applyContext) *Rejection {
	w := c.Workspace
	current, exists := next.Workspaces.Get(w.Name)
	var version uint64
	if exists {
		version = current.Version
	}
	if c.Expected != version {
		return rejectf(ReasonVersion, "workspace %s is at version %d, not %d", w.Name, version, c.Expected)
	}
	if exists && (current.Team != w.Team || current.Template != w.Template) {
		return rejectf(ReasonInvalid, "workspace %s cannot change its team %s or template %s", w.Name, current.Team, current.Template)
	}
	if rejection := checkWorkspace(next, w); rejection != nil {
		return rejection
	}
	w.Version = version + 1
	next.Workspaces = next.Workspaces.Set(w.Name, &w)
	next.WorkspaceByTeam = next.WorkspaceByTeam.Set(w.Team, &w)
	return nil
}

// checkWorkspace rejects values that conflict with the rest of the state.
func checkWorkspace(s *State, w Workspace) *Rejection {
	template, ok := s.Templates.Get(w.Template)
	if !ok {
		return rejectf(ReasonNotFound, "template %s does not exist", w.Template)
	}
	if w.Limit < 0 {
		return rejectf(ReasonInvalid, "limit %d is below 0", w.Limit)
	}
	for _, open := range w.PublicQueues {
		if _, ok := template.Queue(open); !ok {
			return rejectf(ReasonNotFound, "template %s has no queue %s", w.Template, open)
		}
	}
	return checkShares(s, w)
}

// checkShares rejects shares that exceed the template's total, and a second
// workspace of a team.
func checkShares(s *State, w Workspace) *Rejection {
	if owned, ok := s.WorkspaceByTeam.Get(w.Team); ok && owned.Name != w.Name {
		return rejectf(ReasonExists, "team %s already owns workspace %s", w.Team, owned.Name)
	}
	if w.SharePermille < 0 || w.SharePermille > TotalSharePermille {
		return rejectf(ReasonInvalid, "share %d is not between 0 and %d", w.SharePermille, TotalSharePermille)
	}
	total := w.SharePermille
	for name, other := range s.Workspaces.All() {
		if name != w.Name && other.Template == w.Template {
			total += other.SharePermille
		}
	}
	if total > TotalSharePermille {
		return rejectf(ReasonInvalid, "the shares of template %s would add up to %d of %d", w.Template, total, TotalSharePermille)
	}
	return nil
}
