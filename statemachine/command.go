package statemachine

import (
	"encoding/json"
	"maps"

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
	apply(next *State, ctx applyContext) *Rejection
}

// applyContext is what a command may know of its place in the stream.
type applyContext struct {
	writer string
	offset uint64
	atMS   int64
}

// newCommand makes an empty command.
type newCommand func() Command

// commandTypes makes an empty command of each kind.
var commandTypes = mergeCommands(
	streamCommands,
	configCommands,
	vmCommands,
	entryCommands,
	allotmentCommands,
	leaseCommands,
	waveCommands,
	claimCommands,
	jobCommands,
)

func mergeCommands(groups ...map[Kind]newCommand) map[Kind]newCommand {
	out := make(map[Kind]newCommand)
	for _, group := range groups {
		maps.Copy(out, group)
	}
	return out
}

func decodeCommand(kind Kind, body []byte) (Command, error) {
	newCommand, ok := commandTypes[kind]
	if !ok {
		return nil, errors.Newf("record kind %q is not known", kind)
	}
	command := newCommand()
	if err := json.Unmarshal(body, command); err != nil {
		return nil, errors.Wrapf(err, "decode %s", kind)
	}
	return command, nil
}
