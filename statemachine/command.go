package statemachine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Kind names the type of a command in the log.
type Kind string

// Command is the body of a record.
type Command interface {
	// Kind names the command's type.
	Kind() Kind
	// apply changes next, a copy of the state that the caller drops if apply
	// returns a *Void.
	apply(next *State, ctx applyContext) *Void
}

// applyContext is what a command may know of its place in the stream.
type applyContext struct {
	writer string
	offset uint64
	atMS   int64
}

// commandTypes makes an empty command of each kind.
var commandTypes = map[Kind]func() Command{
	KindTemplateSet:  func() Command { return &TemplateSet{} },
	KindWorkspaceSet: func() Command { return &WorkspaceSet{} },
	KindKeyGrant:     func() Command { return &KeyGrant{} },
	KindKeyWithdraw:  func() Command { return &KeyWithdraw{} },
	KindPoolSet:      func() Command { return &PoolSet{} },
	KindVMAdd:        func() Command { return &VMAdd{} },
	KindVMRemove:     func() Command { return &VMRemove{} },
	KindVMMove:       func() Command { return &VMMove{} },
	KindEntryJoin:    func() Command { return &EntryJoin{} },
	KindEntryLeave:   func() Command { return &EntryLeave{} },

	KindAllotmentAdjust: func() Command { return &AllotmentAdjust{} },
}

func decodeCommand(kind Kind, body []byte) (Command, error) {
	make, ok := commandTypes[kind]
	if !ok {
		return nil, errors.Newf("record kind %q is not known", kind)
	}
	command := make()
	if err := json.Unmarshal(body, command); err != nil {
		return nil, errors.Wrapf(err, "decode %s", kind)
	}
	return command, nil
}
