package entry

import (
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// recordEvents adds this entry's own records of the control stream to the
// timeline, in log order.
type recordEvents struct {
	self  string
	clock clockwork.Clock
	ring  *timeline.Ring
}

func newRecordEvents(id identity, clock clockwork.Clock, ring *timeline.Ring, stream *logstream.Stream) *recordEvents {
	r := &recordEvents{self: id.incarnation, clock: clock, ring: ring}
	stream.Observe(r.observe)
	return r
}

func (r *recordEvents) observe(_ *statemachine.State, results []statemachine.Result) {
	for _, result := range results {
		if result.ID.Writer == r.self && !isRoutine(result.Kind) {
			r.ring.Add(r.event(result))
		}
	}
}

// isRoutine reports whether records of the kind are written continually.
func isRoutine(kind statemachine.Kind) bool {
	switch kind {
	case statemachine.KindLeaseRenew, statemachine.KindEntryAck, statemachine.KindAllotmentAdjust:
		return true
	default:
		return false
	}
}

func (r *recordEvents) event(result statemachine.Result) timeline.Event {
	subject := statemachine.SubjectOf(result.Command)
	event := timeline.Event{
		AtUS:    r.clock.Now().UnixMicro(),
		Entry:   r.self,
		Kind:    "record_" + string(result.Kind),
		Offset:  result.Offset,
		Team:    subject.Team,
		VM:      subject.VM,
		Wave:    subject.Wave,
		Request: subject.RequestID,
		Detail:  subject.Entry,
	}
	if confirmation, ok := result.Command.(*statemachine.EntryRemovalConfirm); ok {
		event.Detail += " is gone, says " + confirmation.By + ": " + confirmation.Reason
	}
	if result.Rejection != nil {
		event.Detail = "void, " + result.Rejection.Error()
	}
	return event
}
