package statemachine

// KindFence is the kind of Fence.
const KindFence Kind = "fence"

// Fence changes no state. Once it is applied, all records of the writer with
// lower numbers that have not been applied will be rejected.
type Fence struct{}

// Kind implements Command.
func (*Fence) Kind() Kind { return KindFence }

func (*Fence) apply(*State, applyContext) *Rejection { return nil }

// streamCommands are the commands that concern the stream itself.
var streamCommands = map[Kind]newCommand{
	KindFence: func() Command { return &Fence{} },
}
