package statemachine

// Class is the execution class of a queue.
type Class string

const (
	// ClassUrgent is idempotent work whose client waits for the answer.
	ClassUrgent Class = "urgent"
	// ClassOrder is non-idempotent work that runs at most once.
	ClassOrder Class = "order"
	// ClassJob is work that is accepted first and polled for its result.
	ClassJob Class = "job"
)

// Queue is a queue of a template.
type Queue struct {
	Name  string `json:"name" validate:"required,max=64,excludesall=./"`
	Class Class  `json:"class" validate:"oneof=urgent order job"`
	// Idempotent reports whether work of a job queue may run more than once.
	// Urgent work always may, and orders never.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS is the request timeout if the client sets none, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms" validate:"min=1,max=86400000"`
}

// RunsAtMostOnce reports whether work of the queue must not run twice.
func (q Queue) RunsAtMostOnce() bool {
	switch q.Class {
	case ClassOrder:
		return true
	case ClassJob:
		return !q.Idempotent
	default:
		return false
	}
}

// Weights are the cost weights by which maintenance is planned.
type Weights struct {
	RolloutTime float64 `json:"rollout_time" validate:"min=0,max=1"`
	Moves       float64 `json:"moves" validate:"min=0,max=1"`
	Shares      float64 `json:"shares" validate:"min=0,max=1"`
	Buffer      float64 `json:"buffer" validate:"min=0,max=1"`
}

// Template is one kind of workspace.
type Template struct {
	Name string `json:"name" validate:"required,max=64,excludesall=./"`
	// Pools are the pools on which the workspaces' work runs.
	Pools   []string `json:"pools" validate:"min=1,dive,required"`
	Queues  []Queue  `json:"queues" validate:"min=1,dive"`
	Weights Weights  `json:"weights"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// Queue returns the named queue.
func (t *Template) Queue(name string) (Queue, bool) {
	for _, q := range t.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// KindTemplateSet is the kind of TemplateSet.
const KindTemplateSet Kind = "template_set"

// TemplateSet creates or changes a template. It is rejected unless Expected is
// the template's version, or 0 for a new one.
type TemplateSet struct {
	Template Template `json:"template"`
	Expected uint64   `json:"expected"`
}

// Kind implements Command.
func (*TemplateSet) Kind() Kind { return KindTemplateSet }

func (c *TemplateSet) apply(next *State, _ applyContext) *Rejection {
	name := c.Template.Name
	var version uint64
	if current, ok := next.Templates.Get(name); ok {
		version = current.Version
	}
	if c.Expected != version {
		return rejectf(ReasonVersion, "template %s is at version %d, not %d", name, version, c.Expected)
	}
	if rejection := checkPublicQueues(next, c.Template); rejection != nil {
		return rejection
	}
	template := c.Template
	template.Version = version + 1
	next.Templates = next.Templates.Set(name, &template)
	return nil
}

// checkPublicQueues rejects a template that removes a workspace's public queue.
func checkPublicQueues(s *State, t Template) *Rejection {
	for name, w := range s.Workspaces.All() {
		if w.Template != t.Name {
			continue
		}
		for _, open := range w.PublicQueues {
			if _, ok := t.Queue(open); !ok {
				return rejectf(ReasonInvalid, "workspace %s has the public queue %s, which the template removes", name, open)
			}
		}
	}
	return nil
}

// configCommands are the commands that change the configuration.
var configCommands = map[Kind]newCommand{
	KindTemplateSet:  func() Command { return &TemplateSet{} },
	KindWorkspaceSet: func() Command { return &WorkspaceSet{} },
	KindKeyGrant:     func() Command { return &KeyGrant{} },
	KindKeyWithdraw:  func() Command { return &KeyWithdraw{} },
	KindPoolSet:      func() Command { return &PoolSet{} },
}
