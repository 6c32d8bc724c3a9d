package statemachine

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
)

// Kind is the type name of a command in the log.
type Kind string

// Command is the body of a record.
type Command interface {
	// Kind returns the type of the command.
	Kind() Kind
	// apply changes next, a copy of the state that the caller discards if apply
	// returns a *Rejection.
	apply(next *State, ctx applyContext) *Rejection
}

// applyContext is the position and origin of a command in the stream.
type applyContext struct {
	writer string
	offset uint64
	atMS   int64
}

type newCommand func() Command

// commandTypes holds a constructor for each kind of command.
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
		return nil, errors.Newf("unknown record kind %q", kind)
	}
	command := newCommand()
	if err := json.Unmarshal(body, command); err != nil {
		return nil, errors.Wrapf(err, "decode %s", kind)
	}
	return command, nil
}
